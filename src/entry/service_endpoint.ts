/** `/services/NAME/...`: calls that are passed on to plain services. */

import type { Buffer } from "node:buffer";
import type { FastifyReply, FastifyRequest } from "fastify";
import type { Admission } from "./admission.ts";
import type { ServiceDispatcher } from "./service_dispatcher.ts";

/** Path under which plain services are called. */
export const SERVICES_PREFIX = "/services/";

/** Headers of a caller that a plain service gets to see. */
const PASSED_HEADERS = [
  "content-type",
  "accept",
  "accept-language",
  "idempotency-key",
];

interface Deps {
  readonly admission: Admission;
  readonly serviceDispatcher: ServiceDispatcher;
}

/** Takes calls of plain services from HTTP and puts their answers back. */
export class ServiceEndpoint {
  readonly #deps: Deps;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Answers one call. */
  async handle(
    req: FastifyRequest,
    reply: FastifyReply,
  ): Promise<FastifyReply> {
    const { admission, serviceDispatcher } = this.#deps;
    return await admission.admit(
      { req, reply, kind: "service" },
      async (ctx) => {
        const answer = await serviceDispatcher.dispatch({
          ctx,
          name: (req.params as { name: string }).name,
          method: req.method,
          ...pathBelowService(req.url),
          headers: passedHeaders(req),
          body: req.body as Buffer | undefined,
        });
        if (!answer.ok) return answer.error;
        void reply.code(answer.value.status)
          .headers(answer.value.headers)
          .header("fieldrack-request-id", ctx.requestId)
          .send(answer.value.body);
        return undefined;
      },
    );
  }
}

/**
 * Returns the path without dot segments, as it will be sent: `/stock/../stamps` must
 * not pass for a call of `/stock/`.
 */
export function pathBelowService(url: string): { path: string; query: string } {
  const below = url.slice(url.indexOf("/", SERVICES_PREFIX.length));
  const { pathname, search } = new URL(`http://service${below}`);
  return { path: pathname, query: search };
}

function passedHeaders(req: FastifyRequest): Record<string, string> {
  const passed: Record<string, string> = {};
  for (const name of PASSED_HEADERS) {
    const value = req.headers[name];
    if (typeof value === "string") passed[name] = value;
  }
  return passed;
}
