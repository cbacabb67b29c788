/** HTTP client of plain services. */

import { type Dispatcher, request } from "undici";
import { fail, ok, type Result } from "../core/result.ts";
import { decodeServerNotice } from "../platform/server_notice_wire.ts";
import { type BackendError, toBackendError } from "./backend_error.ts";
import type {
  PlainServices,
  ServiceCall,
  ServiceResponse,
} from "./plain_services.ts";

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
  readonly #dispatcher: Dispatcher;

  constructor(dispatcher: Dispatcher) {
    this.#dispatcher = dispatcher;
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
      const body = new Uint8Array(await res.body.arrayBuffer());
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
