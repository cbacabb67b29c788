/** Model servers, as the rest of the program sees them. */

import type { BackendServer } from "../core/config/configuration.ts";
import type { RequestId } from "../core/ids.ts";
import type { Result } from "../core/result.ts";
import type { ChatAnswer, ChatChunk } from "../protocol/chat_schema.ts";
import type { Deadline } from "../runtime/deadline.ts";
import type { BackendError } from "./backend_error.ts";

/** A request for one model server. */
export interface ModelCall {
  readonly server: BackendServer;
  readonly requestId: RequestId;
  /** Body as JSON text, with the version set. */
  readonly body: string;
  readonly priority: string;
  readonly deadline: Deadline;
}

/** A whole answer, with the text it was parsed from. */
export interface ChatResponse {
  readonly text: string;
  readonly answer: ChatAnswer;
}

/** One event of a stream, with the text it was parsed from. */
export type StreamEvent =
  | { readonly tag: "chunk"; readonly text: string; readonly chunk: ChatChunk }
  /** Proper end of the answer. */
  | { readonly tag: "end" }
  /** Stream broke before its end; always the last event. */
  | { readonly tag: "cut"; readonly error: BackendError };

/** A streamed answer: batches of events, as they arrive. */
export type ChatStream = AsyncIterable<readonly StreamEvent[]>;

/** Load of a model server. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
}

/** Client of all model servers. */
export interface ModelServers {
  chat(call: ModelCall): Promise<Result<ChatResponse, BackendError>>;
  stream(call: ModelCall): Promise<Result<ChatStream, BackendError>>;
  /** Tells the server to stop work whose answer nobody wants any more. */
  cancel(server: BackendServer, requestId: RequestId): void;
  load(server: BackendServer): Promise<Result<ReportedLoad, BackendError>>;
}
