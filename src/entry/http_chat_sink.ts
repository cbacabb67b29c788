/** Sends a streamed answer to a caller as server-sent events. */

import type { ServerResponse } from "node:http";
import type { RequestId } from "../core/ids.ts";
import type { RequestError } from "../core/request_error.ts";
import { END_OF_STREAM } from "../protocol/chat_schema.ts";
import type { Deadline } from "../runtime/deadline.ts";
import type { Target } from "./backend_selector.ts";
import { errorBody } from "./error_reply.ts";
import type { ChatSink } from "./stream_relay.ts";

/** Writes to one HTTP response; applies backpressure for slow callers instead of buffering. */
export class HttpChatSink implements ChatSink {
  readonly #res: ServerResponse;
  readonly #requestId: RequestId;
  readonly #deadline: Deadline;
  readonly #onFirstEvent: () => void;
  #started = false;

  constructor(
    res: ServerResponse,
    options: {
      requestId: RequestId;
      deadline: Deadline;
      onFirstEvent: () => void;
    },
  ) {
    this.#res = res;
    this.#requestId = options.requestId;
    this.#deadline = options.deadline;
    this.#onFirstEvent = options.onFirstEvent;
  }

  /** Whether headers have been sent. */
  get started(): boolean {
    return this.#started;
  }

  start({ step, version, revision }: Target): void {
    this.#started = true;
    this.#res.writeHead(200, {
      "content-type": "text/event-stream; charset=utf-8",
      "cache-control": "no-store",
      "fieldrack-request-id": this.#requestId,
      "fieldrack-model": step.model.id,
      "fieldrack-version": version.id,
      "fieldrack-revision": revision,
    });
    this.#onFirstEvent();
  }

  async write(data: readonly string[]): Promise<boolean> {
    if (this.#res.destroyed) return false;
    const text = data.map((event) => `data: ${event}\n\n`).join("");
    if (text === "" || this.#res.write(text)) return true;
    return await this.#waitUntilWritable();
  }

  end(): void {
    this.#res.end(`data: ${END_OF_STREAM}\n\n`);
  }

  fail(err: RequestError): void {
    if (this.#res.destroyed) return;
    const body = JSON.stringify(errorBody(err, this.#requestId));
    this.#res.end(`event: error\ndata: ${body}\n\n`);
  }

  #waitUntilWritable(): Promise<boolean> {
    return new Promise((resolve) => {
      const settle = (writable: boolean) => {
        this.#res.off("drain", onDrain);
        this.#res.off("close", onCloseOrAbort);
        this.#deadline.signal.removeEventListener("abort", onCloseOrAbort);
        resolve(writable);
      };
      const onDrain = () => settle(true);
      const onCloseOrAbort = () => {
        // Disconnects a caller that does not read its answer before the deadline.
        this.#res.destroy();
        settle(false);
      };
      this.#res.once("drain", onDrain);
      this.#res.once("close", onCloseOrAbort);
      this.#deadline.signal.addEventListener("abort", onCloseOrAbort);
    });
  }
}
