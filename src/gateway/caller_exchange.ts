/** HTTP exchange with a caller: the body of the request, its age, and the response to it. */

import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import type {
  UnreadResponse,
  UnreadResponses,
} from "../core/limits/unread_responses.ts";
import { type Refusal, refusalResponse } from "../core/refusal.ts";
import type { ResponseHead } from "../backends/backend_attempt.ts";
import type { ResponseBody } from "../backends/response_body.ts";
import {
  type CallerHead,
  decodeCallerHead,
  forwardedResponseHeaders,
  localResponseHeaders,
} from "../platform/header_wire.ts";
import {
  decodeForwardOrigin,
  FORWARD_DECLINED_HEADER,
  FORWARD_ORIGIN_HEADER,
  type ForwardOrigin,
} from "../protocol/forward_schema.ts";
import type { Clock } from "../runtime/clock.ts";
import { nextTurn } from "../runtime/next_turn.ts";
import {
  BodyReader,
  type BodyReaderOptions,
  type BodyResult,
} from "./body_reader.ts";

const DECLINED_STATUS = 503;

/** State of the response. */
export type ResponseState = "none" | "begun" | "ended" | "cut" | "caller_gone";

/** Reads one request from a caller and writes exactly one response, whole or streamed. */
export class CallerExchange {
  readonly head: CallerHead;
  readonly method: string;
  /** Path and query, exactly as received. */
  readonly url: string;
  readonly host: string;
  /** All headers but those that VMs set for each other, which callers cannot set. */
  readonly rawHeaders: readonly string[];
  /** Set if another VM forwards the request. */
  readonly origin: ForwardOrigin | undefined;
  /** When the head of the request was received, in monotonic milliseconds. */
  readonly arrivedMs: number;
  readonly #req: IncomingMessage;
  readonly #res: ServerResponse;
  readonly #clock: Clock;
  readonly #closing: () => boolean;
  #state: ResponseState = "none";
  #status: number | undefined;
  #corked = false;
  #body: BodyReader | undefined;
  #responseBody: ResponseBody | undefined;
  readonly #unread: UnreadResponse;
  #onDisconnect: () => void = () => {};

  constructor(
    { req, res, url, clock, closing, unreadResponses, isForwarded = false }: {
      req: IncomingMessage;
      res: ServerResponse;
      url: string;
      clock: Clock;
      /** Whether to close the connection after this response. */
      closing: () => boolean;
      unreadResponses: UnreadResponses;
      /** Whether the request came from another VM rather than a caller. */
      isForwarded?: boolean;
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
    this.rawHeaders = withoutForwardHeaders(req.rawHeaders);
    this.origin = isForwarded
      ? decodeForwardOrigin(req.headers[FORWARD_ORIGIN_HEADER])
      : undefined;
    this.head = decodeCallerHead(req.headers);
    this.#unread = unreadResponses.open(() => res.destroy());
    res.on("close", () => {
      this.#unread.setBytes(0);
      // The socket has passed all bytes on, or is closed and passes on none any more.
      this.#responseBody?.release();
      this.#handleClose();
    });
    // A connection error is always followed by "close", which handles it.
    res.on("error", () => {});
    req.on("error", () => {});
  }

  /** Path without the query. */
  get path(): string {
    const query = this.url.indexOf("?");
    return query < 0 ? this.url : this.url.slice(0, query);
  }

  /** Whether nothing more can be sent to the caller. */
  get isFinished(): boolean {
    return this.#state !== "none" && this.#state !== "begun";
  }

  /** State of the response. */
  get state(): ResponseState {
    return this.#state;
  }

  /** Status of the response; undefined before its head is written. */
  get status(): number | undefined {
    return this.#status;
  }

  /** Time since the head of the request was received, in milliseconds. */
  ageMs(): number {
    return this.#clock.monotonicMs() - this.arrivedMs;
  }

  /** Sets the listener that is called if the caller disconnects before its response has ended. */
  onDisconnect(listener: () => void): void {
    this.#onDisconnect = listener;
    if (this.#state === "caller_gone") listener();
  }

  /** Reads the whole body. */
  readBody(
    options: Pick<BodyReaderOptions, "limitBytes" | "memory">,
  ): Promise<BodyResult> {
    this.#body = new BodyReader(this.#req, { ...options, clock: this.#clock });
    return this.#body.read();
  }

  /** Refuses the request if its body has stopped arriving for `idleTimeoutMs`. */
  checkBody(nowMs: number, idleTimeoutMs: number): void {
    this.#body?.checkProgress(nowMs, idleTimeoutMs);
  }

  /** Frees the memory of the body, which is not used any more. */
  releaseBody(): void {
    this.#body?.release();
  }

  /**
   * Detects that the caller has already disconnected. An overloaded VM reads a request one turn of
   * the event loop before it reads that the caller has closed the connection; on a VM that keeps
   * up, waiting for that turn costs nothing. Without this check, 25 to 30 requests on a day that
   * included the loss of all VMs reached servers more than half a second after their callers had
   * disconnected.
   */
  async detectDisconnect(): Promise<void> {
    await nextTurn();
    const { socket } = this.#req;
    if (socket.destroyed || socket.readableEnded) this.#handleClose();
  }

  /** Responds with an error of this VM in place of a response of a backend server. */
  refuse(refusal: Refusal): void {
    if (this.#state !== "none") return;
    const { status, message, retryAfterMs } = refusalResponse(refusal);
    const body = Buffer.from(JSON.stringify({ code: refusal.tag, message }));
    this.#begin(status, {
      ...localResponseHeaders({ attempt: this.head.attempt, retryAfterMs }),
      "content-type": "application/json",
      "content-length": String(body.length),
    });
    this.#end(body);
  }

  /** Tells the forwarding VM that no server has received the request, nor will from this VM. */
  decline(reason: string): void {
    if (this.#state !== "none") return;
    this.#begin(DECLINED_STATUS, {
      [FORWARD_DECLINED_HEADER]: reason,
      "content-length": "0",
    });
    this.#end(undefined);
  }

  /** Sends a complete response of a backend server. */
  respond(
    { status, headers }: Pick<ResponseHead, "status" | "headers">,
    body: ResponseBody,
  ): void {
    if (this.#state !== "none") return body.release();
    this.#responseBody = body;
    const length = this.method === "HEAD"
      ? headers["content-length"]
      : String(body.length);
    const bodiless = status === 204 || status === 304;
    const kept = this.#serverHeaders(headers);
    if (!bodiless && length !== undefined) kept["content-length"] = length;
    this.#begin(status, kept);
    for (const part of body.parts.slice(0, -1)) this.#res.write(part);
    this.#end(body.parts.at(-1));
  }

  /** Sends the head of a response whose body is streamed. */
  beginStream(
    { status, headers }: Pick<ResponseHead, "status" | "headers">,
  ): void {
    if (this.#state !== "none") return;
    this.#corkForTurn();
    this.#begin(status, this.#serverHeaders(headers));
    this.#res.flushHeaders();
  }

  /** Writes bytes of the streamed body; returns false while the caller applies backpressure. */
  write(chunk: Buffer): boolean {
    if (this.#state !== "begun") return true;
    this.#corkForTurn();
    if (this.#res.write(chunk)) return true;
    this.#unread.setBytes(this.#res.writableLength);
    return false;
  }

  /** Calls the listener once, when the caller accepts more bytes. */
  onDrain(listener: () => void): void {
    this.#res.once("drain", () => {
      this.#unread.setBytes(0);
      listener();
    });
  }

  /** Ends a streamed body as complete. */
  endStream(): void {
    if (this.#state === "begun") this.#end(undefined);
  }

  /** Destroys the connection, so that an incomplete response does not look complete. */
  cut(): void {
    if (this.isFinished) return;
    this.#state = "cut";
    this.#res.destroy();
  }

  /** The forwarding VM must not take the header of a server for this VM's word that none ran it. */
  #serverHeaders(
    headers: ResponseHead["headers"],
  ): Record<string, string | string[]> {
    const kept = forwardedResponseHeaders(headers);
    if (this.origin !== undefined) delete kept[FORWARD_DECLINED_HEADER];
    return kept;
  }

  /**
   * Batches all writes of this turn of the event loop into one packet. The head often arrives with
   * the first event, and the end with the last one; each packet wakes up both sides.
   */
  #corkForTurn(): void {
    if (this.#corked) return;
    this.#corked = true;
    this.#res.cork();
    setImmediate(() => {
      this.#corked = false;
      // Ending the response has flushed all writes already.
      if (this.#state === "begun") this.#res.uncork();
    });
  }

  #begin(status: number, headers: Record<string, string | string[]>): void {
    this.#state = "begun";
    this.#status = status;
    // The rest of a body that was refused is not read.
    if (this.#closing() || !this.#req.complete) headers.connection = "close";
    this.#res.writeHead(status, headers);
  }

  #end(body: Buffer | undefined): void {
    this.#state = "ended";
    this.#res.end(body);
    this.#unread.setBytes(this.#res.writableLength);
  }

  #handleClose(): void {
    if (this.isFinished) return;
    this.#state = "caller_gone";
    this.#onDisconnect();
  }
}

function withoutForwardHeaders(
  rawHeaders: readonly string[],
): readonly string[] {
  const isForwardHeader = (name: string) =>
    name.toLowerCase() === FORWARD_ORIGIN_HEADER;
  if (!rawHeaders.some((name, at) => at % 2 === 0 && isForwardHeader(name))) {
    return rawHeaders;
  }
  return rawHeaders.filter((_, at) =>
    !isForwardHeader(rawHeaders[at - at % 2] ?? "")
  );
}
