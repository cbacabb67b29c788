/** HTTP endpoint `/services/NAME/...`, which forwards calls to plain services. */

import type { Buffer } from "node:buffer";
import { Readable } from "node:stream";
import type { FastifyReply, FastifyRequest } from "fastify";
import type { RequestRunner } from "./request_runner.ts";
import type { ServiceDispatcher } from "./service_dispatcher.ts";

/** Path prefix of plain services. */
export const SERVICES_PREFIX = "/services/";

/** Request headers that are forwarded to plain services. */
const FORWARDED_HEADERS = [
  "content-type",
  "accept",
  "accept-language",
  "idempotency-key",
];

interface Deps {
  readonly requestRunner: RequestRunner;
  readonly serviceDispatcher: ServiceDispatcher;
}

/** Handles calls of plain services. */
export class ServiceEndpoint {
  readonly #deps: Deps;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Handles one call. */
  async handle(
    req: FastifyRequest,
    reply: FastifyReply,
  ): Promise<FastifyReply> {
    const { requestRunner, serviceDispatcher } = this.#deps;
    return await requestRunner.run(
      { req, reply, kind: "service" },
      async (ctx) => {
        const answer = await serviceDispatcher.dispatch({
          ctx,
          name: (req.params as { name: string }).name,
          method: req.method,
          ...pathBelowService(req.url),
          headers: forwardedHeaders(req),
          body: req.body as Buffer | undefined,
        });
        if (!answer.ok) return answer.error;
        const { status, headers, body } = answer.value;
        reply.raw.once("close", () => body.release());
        void reply.code(status)
          .headers(headers)
          .header("fieldrack-request-id", ctx.requestId);
        if (body.parts.length > 1) {
          void reply.header("content-length", body.length)
            .send(Readable.from(body.parts));
        } else void reply.send(body.bytes());
        return undefined;
      },
    );
  }
}

/**
 * Returns the path below the service with dot segments resolved, as it will be sent:
 * `/stock/../stamps` must not match the route `/stock/`.
 */
export function pathBelowService(url: string): { path: string; query: string } {
  const pathAndQuery = url.slice(url.indexOf("/", SERVICES_PREFIX.length));
  const { pathname, search } = new URL(`http://service${pathAndQuery}`);
  return { path: pathname, query: search };
}

function forwardedHeaders(req: FastifyRequest): Record<string, string> {
  const forwarded: Record<string, string> = {};
  for (const name of FORWARDED_HEADERS) {
    const value = req.headers[name];
    if (typeof value === "string") forwarded[name] = value;
  }
  return forwarded;
}
