/** HTTP client of plain services. */

import { type Dispatcher, request } from "undici";
import { fail, ok, type Result } from "../core/result.ts";
import { decodeServerNotice } from "../platform/server_notice_wire.ts";
import type { HttpAgent } from "../runtime/http_agent.ts";
import {
  type BackendError,
  ResponseMemoryError,
  toBackendError,
} from "./backend_error.ts";
import type {
  PlainServices,
  ServiceCall,
  ServiceResponse,
} from "./plain_services.ts";
import type { ResponseBody } from "./response_body.ts";
import {
  BODY_TOO_LARGE,
  MEMORY_USED_UP,
  type ResponseMemory,
} from "./response_limits.ts";

/** Headers that apply to a single connection and are not forwarded. */
const HOP_BY_HOP_HEADERS = new Set([
  "connection",
  "content-length",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** Forwards responses without their hop-by-hop headers. */
export class HttpPlainServices implements PlainServices {
  readonly #dispatcher: HttpAgent;
  readonly #responses: ResponseMemory;

  constructor(dispatcher: HttpAgent, responses: ResponseMemory) {
    this.#dispatcher = dispatcher;
    this.#responses = responses;
  }

  async call(
    call: ServiceCall,
  ): Promise<Result<ServiceResponse, BackendError>> {
    try {
      const res = await request(`${call.server.url}${call.path}`, {
        method: call.method as Dispatcher.HttpMethod,
        dispatcher: this.#dispatcher,
        headers: { ...call.headers, "x-request-id": call.requestId },
        body: call.body,
        signal: call.deadline.signal,
        headersTimeout: 0,
        bodyTimeout: 0,
      });
      const body = await this.#collect(res.body);
      return ok({
        status: res.statusCode,
        headers: endToEndHeaders(res.headers),
        body,
        restMs: decodeServerNotice(res.statusCode, res.headers).restMs,
      });
    } catch (err) {
      return fail(toBackendError(err));
    }
  }

  /** Reads a whole body; throws `ResponseMemoryError` if it does not fit. */
  async #collect(
    body: Dispatcher.ResponseData["body"],
  ): Promise<ResponseBody> {
    const collector = this.#responses.collect(() => {
      collector.discard();
      body.destroy(new ResponseMemoryError(MEMORY_USED_UP));
    });
    try {
      for await (const chunk of body) {
        if (!collector.add(chunk)) {
          throw new ResponseMemoryError(BODY_TOO_LARGE);
        }
      }
      return collector.take();
    } catch (err) {
      collector.discard();
      throw err;
    }
  }
}

function endToEndHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string> {
  const kept: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_BY_HOP_HEADERS.has(name)) continue;
    kept[name] = Array.isArray(value) ? value.join(", ") : value;
  }
  return kept;
}
