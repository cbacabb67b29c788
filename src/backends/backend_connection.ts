/** A connection to a backend server that carries one request at a time. */

import type { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import type { Dispatcher } from "undici";
import { parseAddress } from "../runtime/address.ts";
import { HttpClient, InvalidResponseError } from "../runtime/http_client.ts";
import { HttpVersionCheck } from "../runtime/http_version_check.ts";
import { MeteredSocket } from "../runtime/metered_socket.ts";
import type { ResponseHeaders } from "../runtime/response_framing.ts";
import { OverheadMeter } from "./response_limits.ts";
import type { ServerConnector } from "./server_connector.ts";

/** Idle timeout of connections for which the server advertises none. */
const DEFAULT_KEEP_ALIVE_MS = 4_000;
/** Upper bound of the idle timeout that a server may advertise. */
const MAX_KEEP_ALIVE_MS = 30_000;

/** A request as it is sent to a backend server. */
export interface BackendRequest {
  readonly method: string;
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: string[];
  readonly body: Buffer | undefined;
}

/** Why an exchange ended without a complete response. */
export type ExchangeFailure =
  /** No byte of the request was written. */
  | { readonly tag: "not_sent"; readonly reason: string }
  /** No byte of the request was written, because the listener withheld it. */
  | { readonly tag: "withheld" }
  /** The connection failed after the server may have received the request. */
  | { readonly tag: "broken"; readonly reason: string }
  /** This VM closed the connection, as the server sends bytes that are no response. */
  | { readonly tag: "invalid"; readonly reason: string };

/** Receives the events of an exchange. */
export interface ExchangeListener {
  /** Called before the first byte is written; returning false withholds the request. */
  onSending(): boolean;
  onHead(status: number, headers: ResponseHeaders): void;
  onData(chunk: Buffer): void;
  /** Called once the complete response was received. */
  onEnd(): void;
  /** Called once instead of `onEnd`, unless the exchange was aborted. */
  onFailure(failure: ExchangeFailure): void;
}

const OVERLONG = "server sends bytes that are no response";
const UNSUPPORTED_VERSION = "response has an unsupported HTTP version";

/** Sends one request at a time over an undici client with a single connection. */
export class BackendConnection {
  readonly #client: HttpClient;
  #controller: Dispatcher.DispatchController | undefined;
  #reusable = true;
  #busy = false;
  #socket: Socket | undefined;
  #idleSinceMs = 0;
  readonly #overhead = new OverheadMeter();
  readonly #version = new HttpVersionCheck();

  /** `onLost` is called when the connection ends while idle. */
  constructor(
    address: string,
    { connector, onLost }: {
      connector: ServerConnector;
      onLost: (connection: BackendConnection) => void;
    },
  ) {
    const target = parseAddress(address);
    this.#client = new HttpClient(`http://${address}`, {
      connect: (_options, done) =>
        connector.connect(target, (result) => {
          if ("error" in result) return done(result.error, null);
          this.#meter(result.socket);
          done(null, result.socket);
        }),
      keepAliveTimeout: DEFAULT_KEEP_ALIVE_MS,
      keepAliveMaxTimeout: MAX_KEEP_ALIVE_MS,
      // The deadline of the request limits these waits.
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

  /** Monotonic time at which the connection became idle. */
  get idleSinceMs(): number {
    return this.#idleSinceMs;
  }

  /** Sends a request. */
  send(req: BackendRequest, listener: ExchangeListener): void {
    this.#busy = true;
    this.#overhead.reset();
    this.#version.expectResponse();
    try {
      this.#client.dispatch(
        {
          method: req.method as Dispatcher.HttpMethod,
          path: req.path,
          headers: req.headers,
          body: req.body ?? null,
          // Retries are left to the caller of this class, so undici must not repeat a request.
          idempotent: false,
        },
        new ExchangeHandler(listener, {
          onController: (controller) => this.#controller = controller,
          onFinished: (complete) => this.#finish(complete),
          onHead: () => this.#overhead.reset(),
          onPayload: (bytes) => this.#overhead.recordPayload(bytes),
        }),
      );
    } catch (err) {
      this.#finish(false);
      const reason = (err as Error).message;
      listener.onFailure({ tag: "not_sent", reason });
    }
  }

  /** Pauses or resumes reading the response. */
  setPaused(paused: boolean): void {
    if (paused) this.#controller?.pause();
    else this.#controller?.resume();
  }

  /** Records when the connection became idle. */
  markIdle(nowMs: number): void {
    this.#idleSinceMs = nowMs;
  }

  /** Prevents reuse of the connection. */
  retire(): void {
    this.#reusable = false;
  }

  /** Closes the connection immediately; an exchange on it is aborted. */
  destroy(): void {
    this.#reusable = false;
    // After a plain close, the kernel would still deliver buffered bytes of the request, for
    // example once a network partition has ended. A reset discards them.
    if (this.#busy) this.#socket?.resetAndDestroy();
    void this.#client.destroy();
  }

  #meter(socket: Socket): void {
    this.#socket = socket;
    if (socket instanceof MeteredSocket) {
      socket.meterReads((chunk) => this.#mayProcess(chunk));
    }
  }

  /** Whether bytes that were read may belong to a response; resets the connection if they cannot. */
  #mayProcess(chunk: Buffer): boolean {
    const isWithinLimit = this.#overhead.recordRead(chunk.length);
    const isSupported = this.#version.accepts(chunk);
    if (isWithinLimit && isSupported) return true;
    const reason = isSupported ? OVERLONG : UNSUPPORTED_VERSION;
    this.#reusable = false;
    this.#socket?.resetAndDestroy();
    this.#controller?.abort(new InvalidResponseError(reason));
    return false;
  }

  #finish(complete: boolean): void {
    this.#busy = false;
    if (!complete) this.#reusable = false;
  }
}

/** Callbacks of a handler to its connection. */
interface HandlerHooks {
  readonly onController: (controller: Dispatcher.DispatchController) => void;
  readonly onFinished: (complete: boolean) => void;
  /** A final head was received. */
  readonly onHead: () => void;
  /** Bytes of the body were received. */
  readonly onPayload: (bytes: number) => void;
}

/** Translates undici's callbacks for a listener; calls nothing more after the end or a failure. */
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
      controller.abort(
        new Error("undici attempted to send the request a second time"),
      );
      return;
    }
    this.#hooks.onController(controller);
    // Set before the abort below, which calls `onResponseError` synchronously.
    this.#sent = this.#listener.onSending();
    this.#withheld = !this.#sent;
    if (this.#withheld) {
      controller.abort(new Error("Request was withheld by its sender"));
    }
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: ResponseHeaders,
  ): void {
    if (status < 200 || this.#ended) return;
    this.#hooks.onHead();
    this.#listener.onHead(status, headers);
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.#hooks.onPayload(chunk.length);
    if (!this.#ended) this.#listener.onData(chunk);
  }

  onResponseEnd(): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#hooks.onFinished(true);
    this.#listener.onEnd();
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    err: Error,
  ): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#hooks.onFinished(false);
    if (this.#withheld) {
      this.#listener.onFailure({ tag: "withheld" });
      return;
    }
    if (err instanceof InvalidResponseError) {
      this.#listener.onFailure({ tag: "invalid", reason: err.message });
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
