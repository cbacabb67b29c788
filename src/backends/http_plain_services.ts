/** Plain services over HTTP. */

import { type Dispatcher, request } from "undici";
import { fail, ok, type Result } from "../core/result.ts";
import { decodeServerNotice } from "../platform/server_notice_wire.ts";
import { type BackendError, toBackendError } from "./backend_error.ts";
import type {
  PlainServices,
  ServiceCall,
  ServiceResponse,
} from "./plain_services.ts";

/** Headers that belong to one connection and are not passed on. */
const HOP_BY_HOP = new Set([
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

/** Client of plain services. */
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
        headers: passedOn(res.headers),
        body,
        restMs: decodeServerNotice(res.statusCode, res.headers).restMs,
      });
    } catch (err) {
      return fail(toBackendError(err));
    }
  }
}

function passedOn(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string> {
  const kept: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_BY_HOP.has(name)) continue;
    kept[name] = Array.isArray(value) ? value.join(", ") : value;
  }
  return kept;
}
