/** HTTP client of model servers with the `/v1/chat/completions` API. */

import { type Dispatcher, request } from "undici";
import type { BackendServer } from "../core/config/configuration.ts";
import type { RequestId } from "../core/ids.ts";
import { fail, ok, type Result } from "../core/result.ts";
import { decodeServerNotice } from "../platform/server_notice_wire.ts";
import {
  chatResponseSchema,
  loadReportSchema,
} from "../protocol/chat_schema.ts";
import type { HttpAgent } from "../runtime/http_agent.ts";
import { withDeadline } from "../runtime/with_deadline.ts";
import { type BackendError, toBackendError } from "./backend_error.ts";
import { readChatStream } from "./chat_stream_reader.ts";
import type {
  ChatStream,
  ModelCall,
  ModelResponse,
  ModelServers,
  ReportedLoad,
} from "./model_servers.ts";

const CONTROL_TIMEOUT_MS = 1_000;
/** Length to which a server's error text is truncated. */
const MAX_REASON_CHARS = 200;

/** Uses one connection pool per model server. */
export class HttpModelServers implements ModelServers {
  readonly #dispatcher: HttpAgent;

  constructor(dispatcher: HttpAgent) {
    this.#dispatcher = dispatcher;
  }

  async chat(call: ModelCall): Promise<Result<ModelResponse, BackendError>> {
    try {
      const res = await this.#post(call);
      const text = await res.body.text();
      if (res.statusCode !== 200) return fail(toRejection(res, text));
      return parseChatResponse(text, call.requestId);
    } catch (err) {
      return fail(toBackendError(err));
    }
  }

  async stream(call: ModelCall): Promise<Result<ChatStream, BackendError>> {
    try {
      const res = await this.#post(call);
      if (res.statusCode !== 200) {
        return fail(toRejection(res, await res.body.text()));
      }
      return ok(readChatStream(res.body, call.requestId));
    } catch (err) {
      return fail(toBackendError(err));
    }
  }

  cancel(server: BackendServer, requestId: RequestId): void {
    const body = JSON.stringify({ request_id: requestId });
    // Errors are ignored: a lost cancellation only costs some generated tokens.
    this.#control(server, { path: "/v1/cancel", body }).catch(() => {});
  }

  async load(
    server: BackendServer,
  ): Promise<Result<ReportedLoad, BackendError>> {
    try {
      const report = JSON.parse(await this.#control(server, { path: "/load" }));
      const parsed = loadReportSchema.safeParse(report);
      if (parsed.success) return ok(parsed.data);
      return fail({
        tag: "wrong_answer",
        reason: "load report does not match its schema",
      });
    } catch (err) {
      return fail(toBackendError(err));
    }
  }

  #post(call: ModelCall): Promise<Dispatcher.ResponseData> {
    return request(`${call.server.url}/v1/chat/completions`, {
      method: "POST",
      dispatcher: this.#dispatcher,
      headers: {
        "content-type": "application/json",
        "x-request-id": call.requestId,
        "x-priority": call.priority,
      },
      body: call.body,
      signal: call.deadline.signal,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  /** Sends a control request; returns the text of the response. */
  #control(
    server: BackendServer,
    { path, body }: { path: string; body?: string },
  ): Promise<string> {
    return withDeadline({ limitMs: CONTROL_TIMEOUT_MS }, async ({ signal }) => {
      const res = await request(`${server.url}${path}`, {
        method: body === undefined ? "GET" : "POST",
        dispatcher: this.#dispatcher,
        headers: body === undefined
          ? {}
          : { "content-type": "application/json" },
        body,
        signal,
      });
      return await res.body.text();
    });
  }
}

function parseChatResponse(
  text: string,
  requestId: RequestId,
): Result<ModelResponse, BackendError> {
  let body: unknown;
  try {
    body = JSON.parse(text);
  } catch {
    return fail({ tag: "wrong_answer", reason: "response is not JSON" });
  }
  const parsed = chatResponseSchema.safeParse(body);
  if (!parsed.success) {
    return fail({
      tag: "wrong_answer",
      reason: "response does not match its schema",
    });
  }
  if (parsed.data.id !== requestId) {
    return fail({ tag: "wrong_answer", reason: "response to another request" });
  }
  return ok({ text, answer: parsed.data });
}

function toRejection(
  { statusCode: status, headers }: Dispatcher.ResponseData,
  text: string,
): BackendError {
  const { restMs } = decodeServerNotice(status, headers);
  const reason = text.slice(0, MAX_REASON_CHARS);
  return { tag: "rejected", status, reason, restMs };
}
