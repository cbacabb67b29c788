/** One request of a caller: its body, its time, and the one answer to it. */

import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import { type Refusal, refusalAnswer } from "../core/refusal.ts";
import { fail, ok, type Result } from "../core/result.ts";
import type { AnswerHead } from "../backends/backend_try.ts";
import {
  answerHeadersFor,
  type CallerHead,
  decodeCallerHead,
  ownAnswerHeaders,
} from "../platform/header_wire.ts";
import type { Clock } from "../runtime/clock.ts";
import { nextTurn } from "../runtime/next_turn.ts";

/** How the answer stands. */
export type AnswerState = "none" | "begun" | "ended" | "cut" | "caller_gone";

/** Holds a caller's connection until its request has its answer. */
export class CallerExchange {
  readonly head: CallerHead;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly url: string;
  readonly host: string;
  readonly rawHeaders: readonly string[];
  /** When the head of the request came, by the monotonic clock. */
  readonly arrivedMs: number;
  readonly #req: IncomingMessage;
  readonly #res: ServerResponse;
  readonly #clock: Clock;
  readonly #closing: () => boolean;
  #state: AnswerState = "none";
  #status: number | undefined;
  #gathering = false;
  #onGone: () => void = () => {};

  constructor(
    { req, res, url, clock, closing }: {
      req: IncomingMessage;
      res: ServerResponse;
      url: string;
      clock: Clock;
      /** Whether the connection should end after this answer. */
      closing: () => boolean;
    },
  ) {
    this.#req = req;
    this.#res = res;
    this.#clock = clock;
    this.#closing = closing;
    this.arrivedMs = clock.monotonicMs();
    this.method = req.method ?? "GET";
    this.url = url;
    this.host = req.headers.host ?? "";
    this.rawHeaders = req.rawHeaders;
    this.head = decodeCallerHead(req.headers);
    res.on("close", () => this.#closed());
    // Errors of the connection end in "close" as well, which is what counts.
    res.on("error", () => {});
    req.on("error", () => {});
  }

  /** Path without the query. */
  get path(): string {
    const query = this.url.indexOf("?");
    return query < 0 ? this.url : this.url.slice(0, query);
  }

  /** Whether nothing more can reach the caller. */
  get isOver(): boolean {
    return this.#state !== "none" && this.#state !== "begun";
  }

  /** How the answer stands. */
  get state(): AnswerState {
    return this.#state;
  }

  /** Status of the answer, once it has begun. */
  get status(): number | undefined {
    return this.#status;
  }

  /** Milliseconds since the request came. */
  ageMs(): number {
    return this.#clock.monotonicMs() - this.arrivedMs;
  }

  /** Calls back when the caller leaves before its answer has ended. */
  onGone(listener: () => void): void {
    this.#onGone = listener;
    if (this.#state === "caller_gone") listener();
  }

  /** Reads the whole body; undefined when there is none. */
  readBody(limitBytes: number): Promise<Result<Buffer | undefined, Refusal>> {
    return new Promise((resolve) => {
      const chunks: Buffer[] = [];
      let bytes = 0;
      this.#req.on("data", (chunk: Buffer) => {
        bytes += chunk.length;
        if (bytes <= limitBytes) chunks.push(chunk);
        else resolve(fail({ tag: "too_large", limitBytes }));
      });
      this.#req.once("end", () => {
        resolve(ok(chunks.length === 0 ? undefined : Buffer.concat(chunks)));
      });
      this.#req.once("close", () => {
        // After "end" this changes nothing.
        resolve(fail({ tag: "malformed", reason: "Body was cut short" }));
      });
    });
  }

  /**
   * Finds out whether the caller has left already. A VM that is behind reads a request and
   * then, a turn of the loop later, that its caller has given it up; where it is not behind,
   * the turn takes no time. Without this, 25 to 30 requests of a day with a loss of all VMs
   * reached servers over half a second after their callers had left.
   */
  async lookForCaller(): Promise<void> {
    await nextTurn();
    const { socket } = this.#req;
    if (socket.destroyed || socket.readableEnded) this.#closed();
  }

  /** Answers that no server's answer is to be had. */
  refuse(refusal: Refusal): void {
    if (this.#state !== "none") return;
    const { status, message, retryAfterMs } = refusalAnswer(refusal);
    const body = Buffer.from(JSON.stringify({ code: refusal.tag, message }));
    this.#begin(status, {
      ...ownAnswerHeaders({ attempt: this.head.attempt, retryAfterMs }),
      "content-type": "application/json",
      "content-length": String(body.length),
    });
    this.#end(body);
  }

  /** Passes on a whole answer. */
  answer({ status, headers }: AnswerHead, body: Buffer): void {
    if (this.#state !== "none") return;
    const length = this.method === "HEAD"
      ? headers["content-length"]
      : String(body.length);
    const bodiless = status === 204 || status === 304;
    const kept = answerHeadersFor(headers);
    if (!bodiless && length !== undefined) kept["content-length"] = length;
    this.#begin(status, kept);
    this.#end(body);
  }

  /** Begins an answer whose body is passed on as it comes. */
  beginStream({ status, headers }: AnswerHead): void {
    if (this.#state !== "none") return;
    this.#gather();
    this.#begin(status, answerHeadersFor(headers));
    this.#res.flushHeaders();
  }

  /** Passes on bytes; returns false while the caller does not keep up. */
  write(chunk: Buffer): boolean {
    if (this.#state !== "begun") return true;
    this.#gather();
    return this.#res.write(chunk);
  }

  /** Calls back once the caller has caught up. */
  onDrain(listener: () => void): void {
    this.#res.once("drain", listener);
  }

  /** Ends a stream as complete. */
  endStream(): void {
    if (this.#state === "begun") this.#end(undefined);
  }

  /** Cuts the connection, so that an answer that is not whole does not look so. */
  cut(): void {
    if (this.isOver) return;
    this.#state = "cut";
    this.#res.destroy();
  }

  /**
   * Sends what is written in this turn of the loop at once: a head often comes with its
   * first event and an end with the last, and each packet costs both sides a wake-up.
   */
  #gather(): void {
    if (this.#gathering) return;
    this.#gathering = true;
    this.#res.cork();
    setImmediate(() => {
      this.#gathering = false;
      // An end has sent everything already.
      if (this.#state === "begun") this.#res.uncork();
    });
  }

  #begin(status: number, headers: Record<string, string | string[]>): void {
    this.#state = "begun";
    this.#status = status;
    if (this.#closing()) headers.connection = "close";
    this.#res.writeHead(status, headers);
  }

  #end(body: Buffer | undefined): void {
    this.#state = "ended";
    this.#res.end(body);
  }

  #closed(): void {
    if (this.isOver) return;
    this.#state = "caller_gone";
    this.#onGone();
  }
}
