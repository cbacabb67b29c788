/** One try of a request at one backend server. */

import { Buffer } from "node:buffer";
import type { ServerNotice } from "../core/servers/server_notice.ts";
import type { ServerRecord } from "../core/servers/server_record.ts";
import {
  type BackendHead,
  decodeBackendHead,
} from "../platform/header_wire.ts";
import { decodeServerNotice } from "../platform/server_notice_wire.ts";
import type {
  AnswerHeaders,
  BackendConnection,
  BackendRequest,
  ExchangeFailure,
  ExchangeListener,
} from "./backend_connection.ts";
import type { BackendConnections } from "./backend_connections.ts";

/** An answer's status and headers. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: AnswerHeaders;
  readonly decoded: BackendHead;
  /** What the server says of itself. */
  readonly notice: ServerNotice;
}

/** How a try ended. */
export type TryOutcome =
  | { readonly tag: "not_sent"; readonly reason: string }
  /** Nothing was sent, as the server was no longer to be used when the connection was up. */
  | { readonly tag: "withheld" }
  /** The server says that it did not run the request and never will. */
  | {
    readonly tag: "not_run";
    readonly status: number;
    /** Rest that the server asks for, in milliseconds; 0 where it asks for none. */
    readonly restMs: number;
  }
  /** Another server answers at the address; nothing ran. */
  | { readonly tag: "misdirected" }
  /** The server may have run the request, but no whole answer came. */
  | { readonly tag: "broken"; readonly reason: string }
  | {
    readonly tag: "answered";
    readonly head: AnswerHead;
    readonly body: Buffer;
  }
  /**
   * All of the answer went to the sink. Without a `framed` body, its end is only that of the
   * connection.
   */
  | { readonly tag: "streamed"; readonly framed: boolean }
  /** Part of the answer went to the sink. */
  | { readonly tag: "stream_broken"; readonly reason: string }
  /** The head was turned down, and the rest is not wanted. */
  | { readonly tag: "turned_down" }
  | { readonly tag: "given_up" };

/** What to do with an answer, by its head. */
export type HeadVerdict = "collect" | "stream" | "turn_down";

/** Takes the parts of an answer that is passed on as it comes. */
export interface AnswerSink {
  judge(head: AnswerHead): HeadVerdict;
  /** Returns false while no more bytes are wanted; `onDrain` ends that. */
  write(chunk: Buffer): boolean;
  /**
   * Called with each head that the server sends, of whatever use its answer is otherwise; not
   * where another server answers at the address.
   */
  onNotice(notice: ServerNotice): void;
  /** Any byte of the answer came; for watching over silent servers. */
  onProgress(): void;
  /** The connection ended before the whole answer, and not by this VM. */
  onClosed(): void;
}

/** What a try is made of. */
export interface TryInput {
  readonly server: ServerRecord;
  readonly request: BackendRequest;
  /** Id that the answer must carry. */
  readonly attempt: string | undefined;
  /** Whether to use a connection that has carried nothing before. */
  readonly fresh: boolean;
  /** Asked when the connection is up, just before the first byte is written. */
  readonly maySend: () => boolean;
  readonly sink: AnswerSink;
}

const MISDIRECTED = 421;
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([400, 429, 503]);

/** Runs one try. */
export class BackendTry implements ExchangeListener {
  readonly #connections: BackendConnections;
  readonly #input: TryInput;
  readonly #connection: BackendConnection;
  readonly #chunks: Buffer[] = [];
  #resolve: (outcome: TryOutcome) => void = () => {};
  #head: AnswerHead | undefined;
  #verdict: HeadVerdict = "collect";
  #sent = false;
  #paused = false;
  #done = false;

  constructor(connections: BackendConnections, input: TryInput) {
    this.#connections = connections;
    this.#input = input;
    this.#connection = connections.take(input.server, { fresh: input.fresh });
  }

  /** Whether bytes of the request may have reached the server. */
  get sent(): boolean {
    return this.#sent;
  }

  /** Whether nothing is read from the server, as the sink wants no more for a while. */
  get paused(): boolean {
    return this.#paused;
  }

  /** Whether the head of the answer has come. */
  get hasHead(): boolean {
    return this.#head !== undefined;
  }

  /** Sends the request; resolves when the try has ended. */
  run(): Promise<TryOutcome> {
    return new Promise((resolve) => {
      this.#resolve = resolve;
      this.#connection.send(this.#input.request, this);
    });
  }

  /** Gives the try up; the server stops its work when the connection closes. */
  giveUp(outcome: TryOutcome = { tag: "given_up" }): void {
    if (this.#done) return;
    this.#done = true;
    this.#connection.destroy();
    this.#resolve(outcome);
  }

  /** Goes on reading after the sink has wanted no more for a while. */
  resume(): void {
    if (this.#done) return;
    this.#paused = false;
    this.#connection.setPaused(false);
  }

  onSending(): boolean {
    this.#sent = !this.#done && this.#input.maySend();
    return this.#sent;
  }

  onHead(status: number, headers: AnswerHeaders): void {
    if (this.#done) return;
    this.#input.sink.onProgress();
    const decoded = decodeBackendHead(headers);
    const notice = decodeServerNotice(status, headers);
    this.#head = { status, headers, decoded, notice };
    if (status !== MISDIRECTED) this.#input.sink.onNotice(notice);
    const flaw = this.#flawOf(this.#head);
    if (flaw !== undefined) {
      // What else comes on this connection belongs to nobody that we know of.
      this.giveUp({ tag: "broken", reason: flaw });
      return;
    }
    if (decoded.closesConnection) this.#connection.retire();
    if (isNotRun(this.#head)) return;
    this.#verdict = this.#input.sink.judge(this.#head);
    if (this.#verdict === "turn_down") this.giveUp({ tag: "turned_down" });
  }

  onData(chunk: Buffer): void {
    if (this.#done) return;
    this.#input.sink.onProgress();
    if (this.#verdict === "collect") {
      this.#chunks.push(chunk);
      return;
    }
    if (this.#input.sink.write(chunk)) return;
    this.#paused = true;
    this.#connection.setPaused(true);
  }

  onEnd(): void {
    if (this.#done) return;
    this.#done = true;
    this.#connections.giveBack(this.#input.server, this.#connection);
    this.#resolve(this.#wholeOutcome());
  }

  onFailure(failure: ExchangeFailure): void {
    if (this.#done) return;
    this.#done = true;
    this.#connection.destroy();
    if (failure.tag === "broken") this.#input.sink.onClosed();
    if (this.#verdict === "stream" && failure.tag !== "withheld") {
      this.#resolve({ tag: "stream_broken", reason: failure.reason });
    } else if (this.#head !== undefined && isNotRun(this.#head)) {
      this.#resolve(this.#wholeOutcome());
    } else {
      this.#resolve(failure);
    }
  }

  #wholeOutcome(): TryOutcome {
    const head = this.#head;
    if (head === undefined) return { tag: "broken", reason: "no head" };
    if (head.status === MISDIRECTED) return { tag: "misdirected" };
    if (isNotRun(head)) {
      const { status, notice } = head;
      return { tag: "not_run", status, restMs: notice.restMs };
    }
    if (this.#verdict === "stream") {
      return { tag: "streamed", framed: head.decoded.framed };
    }
    return { tag: "answered", head, body: Buffer.concat(this.#chunks) };
  }

  /** Says why an answer cannot be the whole answer of this server to this request. */
  #flawOf({ status, decoded }: AnswerHead): string | undefined {
    const { attempt } = this.#input;
    const other = decoded.attempt !== undefined && decoded.attempt !== attempt;
    if (other) return "answer to another request";
    // A server that refuses early may not have read the id.
    if (isNotRun({ status, decoded })) return undefined;
    if (decoded.attempt !== attempt) return "answer without the request's id";
    if (decoded.encoded) return "answer with an encoding that nobody asked for";
    if (status < 300 && !decoded.hasSeal) return "answer without a seal";
    return undefined;
  }
}

function isNotRun(
  { status, decoded }: Pick<AnswerHead, "status" | "decoded">,
): boolean {
  if (status === MISDIRECTED) return true;
  return decoded.notProcessed && NOT_RUN_STATUSES.has(status);
}
