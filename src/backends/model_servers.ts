/** Interface of the client of model servers. */

import type { BackendServer } from "../core/config/configuration.ts";
import type { RequestId } from "../core/ids.ts";
import type { Result } from "../core/result.ts";
import type { ChatChunk, ChatResponse } from "../protocol/chat_schema.ts";
import type { Deadline } from "../runtime/deadline.ts";
import type { BackendError } from "./backend_error.ts";

/** A chat request to one model server. */
export interface ModelCall {
  readonly server: BackendServer;
  readonly requestId: RequestId;
  /** JSON text that names the model version. */
  readonly body: string;
  readonly priority: string;
  readonly deadline: Deadline;
}

/** A complete response with the text that it was parsed from. */
export interface ModelResponse {
  readonly text: string;
  readonly answer: ChatResponse;
}

/** An event of a stream; a chunk holds the text that it was parsed from. */
export type StreamEvent =
  | { readonly tag: "chunk"; readonly text: string; readonly chunk: ChatChunk }
  /** Regular end of the response. */
  | { readonly tag: "end" }
  /** The stream failed before its end; always the last event. */
  | { readonly tag: "cut"; readonly error: BackendError };

/** A streamed response, as batches of events in the order received. */
export type ChatStream = AsyncIterable<readonly StreamEvent[]>;

/** Numbers of running and waiting requests that a model server reports. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
}

/** Client of model servers. */
export interface ModelServers {
  chat(call: ModelCall): Promise<Result<ModelResponse, BackendError>>;
  stream(call: ModelCall): Promise<Result<ChatStream, BackendError>>;
  /** Requests that the server stops a request whose response is no longer needed. */
  cancel(server: BackendServer, requestId: RequestId): void;
  load(server: BackendServer): Promise<Result<ReportedLoad, BackendError>>;
}
