/** One connection to a backend server, which carries one request at a time. */

import type { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import { buildConnector, Client, type Dispatcher } from "undici";

/** Wait for a connection; servers stand a few milliseconds away. */
const CONNECT_TIMEOUT_MS = 400;
/** Idle connections that the server does not time are closed after this long. */
const DEFAULT_KEEP_ALIVE_MS = 4_000;
/** Longest that an idle connection is kept, whatever the server says. */
const MAX_KEEP_ALIVE_MS = 30_000;

/** A request as it goes to a backend server. */
export interface BackendRequest {
  readonly method: string;
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: string[];
  readonly body: Buffer | undefined;
}

/** Headers of an answer, by lower-case name. */
export type AnswerHeaders = Readonly<
  Record<string, string | string[] | undefined>
>;

/** Why an exchange ended without a whole answer. */
export type ExchangeFailure =
  /** No byte of the request was written. */
  | { readonly tag: "not_sent"; readonly reason: string }
  /** The same, as the listener did not want it sent any more. */
  | { readonly tag: "withheld" }
  /** The server may have run the request. */
  | { readonly tag: "broken"; readonly reason: string };

/** What happens to a request that was sent. */
export interface ExchangeListener {
  /** Bytes of the request are about to be written; returns whether they still may be. */
  onSending(): boolean;
  onHead(status: number, headers: AnswerHeaders): void;
  onData(chunk: Buffer): void;
  /** The whole answer has arrived. */
  onEnd(): void;
  /** Comes once, instead of `onEnd`, unless the exchange was given up. */
  onFailure(failure: ExchangeFailure): void;
}

/** Sent to find out how the other side has ended; servers pass over empty lines. */
const EMPTY_LINE = "\r\n";
const RESET_CODES: readonly unknown[] = ["EPIPE", "ECONNRESET"];

// Half-open, so that a connection can still be asked how it has ended.
const connect = buildConnector({
  timeout: CONNECT_TIMEOUT_MS,
  allowHalfOpen: true,
});

/** One connection. */
export class BackendConnection {
  readonly #client: Client;
  #controller: Dispatcher.DispatchController | undefined;
  #reusable = true;
  #busy = false;
  #socket: Socket | undefined;
  #broken = false;
  #ended = false;
  #idleSinceMs = 0;

  /** `onLost` is called when an idle connection ends. */
  constructor(
    address: string,
    onLost: (connection: BackendConnection) => void,
  ) {
    this.#client = new Client(`http://${address}`, {
      pipelining: 1,
      connect: (target, done) =>
        connect(target, (...result) => {
          if (result[1]) this.#watch(result[1]);
          done(...result);
        }),
      keepAliveTimeout: DEFAULT_KEEP_ALIVE_MS,
      keepAliveMaxTimeout: MAX_KEEP_ALIVE_MS,
      // The deadline of the request bounds these waits.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.#client.on("disconnect", () => {
      this.#reusable = false;
      if (!this.#busy) onLost(this);
    });
  }

  /** Whether another request may be sent. */
  get reusable(): boolean {
    return this.#reusable && !this.#busy;
  }

  /** When the last answer ended, by the monotonic clock. */
  get idleSinceMs(): number {
    return this.#idleSinceMs;
  }

  /** Sends a request. */
  send(req: BackendRequest, listener: ExchangeListener): void {
    this.#busy = true;
    try {
      this.#client.dispatch(
        {
          method: req.method as Dispatcher.HttpMethod,
          path: req.path,
          headers: req.headers,
          body: req.body ?? null,
          // A request whose connection ends is for the caller of this class to repeat.
          idempotent: false,
        },
        new ExchangeHandler(listener, {
          onController: (controller) => this.#controller = controller,
          onDone: (whole) => this.#done(whole),
          askEnd: (answer) => this.#askEnd(answer),
        }),
      );
    } catch (err) {
      this.#done(false);
      const reason = (err as Error).message;
      listener.onFailure({ tag: "not_sent", reason });
    }
  }

  /** Stops or goes on reading the answer. */
  setPaused(paused: boolean): void {
    if (paused) this.#controller?.pause();
    else this.#controller?.resume();
  }

  /** Notes when the connection became idle. */
  markIdle(nowMs: number): void {
    this.#idleSinceMs = nowMs;
  }

  /** Keeps the connection from being used again. */
  retire(): void {
    this.#reusable = false;
  }

  /** Closes the connection at once; an exchange on it is given up. */
  destroy(): void {
    this.#reusable = false;
    // A plain close goes on delivering what lies in the buffers here, as links heal.
    if (this.#busy) this.#socket?.resetAndDestroy();
    void this.#client.destroy();
  }

  /** Listens before undici does, which takes a reset for the end of some answers. */
  #watch(socket: Socket): void {
    this.#socket = socket;
    socket.once("error", () => this.#broken = true);
    socket.once("end", () => this.#ended = true);
  }

  /**
   * Tells whether the connection has been reset. A reset that arrives together with the
   * last bytes is reported as a plain end; only writing shows which it was.
   */
  #askEnd(answer: (reset: boolean) => void): void {
    if (this.#broken || !this.#ended || this.#socket === undefined) {
      answer(this.#broken);
      return;
    }
    this.#socket.write(EMPTY_LINE, (err) => {
      const { code } = (err ?? {}) as NodeJS.ErrnoException;
      answer(RESET_CODES.includes(code));
    });
  }

  #done(whole: boolean): void {
    this.#busy = false;
    if (!whole) this.#reusable = false;
  }
}

/** What a handler tells its connection, and asks of it. */
interface HandlerHooks {
  readonly onController: (controller: Dispatcher.DispatchController) => void;
  readonly onDone: (whole: boolean) => void;
  /** Finds out whether the connection has been reset. */
  readonly askEnd: (answer: (reset: boolean) => void) => void;
}

/** Turns undici's calls into those of a listener, and ends them after a failure. */
class ExchangeHandler implements Dispatcher.DispatchHandler {
  readonly #listener: ExchangeListener;
  readonly #hooks: HandlerHooks;
  #sent = false;
  #withheld = false;
  #ended = false;

  constructor(listener: ExchangeListener, hooks: HandlerHooks) {
    this.#listener = listener;
    this.#hooks = hooks;
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.#sent) {
      controller.abort(new Error("Request would be sent a second time"));
      return;
    }
    this.#hooks.onController(controller);
    // Before the answer: an abort reports its error at once.
    this.#sent = this.#listener.onSending();
    this.#withheld = !this.#sent;
    if (this.#withheld) {
      controller.abort(new Error("Request may not be sent now"));
    }
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: AnswerHeaders,
  ): void {
    if (status < 200 || this.#ended) return;
    this.#listener.onHead(status, headers);
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (!this.#ended) this.#listener.onData(chunk);
  }

  onResponseEnd(): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#hooks.askEnd((reset) => {
      this.#hooks.onDone(!reset);
      if (reset) this.#listener.onFailure({ tag: "broken", reason: "reset" });
      else this.#listener.onEnd();
    });
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    err: Error,
  ): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#hooks.onDone(false);
    if (this.#withheld) {
      this.#listener.onFailure({ tag: "withheld" });
      return;
    }
    const { code, message } = err as NodeJS.ErrnoException;
    const reason = code ?? message;
    this.#listener.onFailure({
      tag: this.#sent ? "broken" : "not_sent",
      reason,
    });
  }
}
