/** An undici client with a single connection that reports only sound and complete responses as such. */

import type { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import {
  type buildConnector,
  Client,
  DecoratorHandler,
  type Dispatcher,
} from "undici";
import { endsWithConnection, hasUnknownCoding } from "./response_framing.ts";

/** Written to detect a reset connection; HTTP servers ignore empty lines before a request. */
const EMPTY_LINE = "\r\n";

/** The connection of a response failed before the response was known to be complete. */
export class IncompleteResponseError extends Error {}

/** A server sent bytes that are no valid response. */
export class InvalidResponseError extends Error {}

/** Opens a connection that stays writable once the server has ended it (`allowHalfOpen`). */
export type HalfOpenConnector = buildConnector.connector;

/** Options of a client. */
export interface HttpClientOptions
  extends Omit<Client.Options, "connect" | "pipelining"> {
  readonly connect: HalfOpenConnector;
  /** 0 to open a connection for each request. */
  readonly pipelining?: 0 | 1;
}

/**
 * undici treats a reset as the regular end of a response without a length. Here such a response is
 * complete only if the server is known to have ended the connection properly, after the whole request
 * was written.
 */
export class HttpClient extends Client {
  readonly #connectionEnd: ConnectionEnd;

  constructor(
    origin: string | URL,
    { connect, ...options }: HttpClientOptions,
  ) {
    const connectionEnd = new ConnectionEnd();
    super(origin, {
      pipelining: 1,
      ...options,
      connect: (target, done) =>
        connect(target, (...result) => {
          const [err, socket] = result;
          if (err === null) connectionEnd.watch(socket);
          done(...result);
        }),
    });
    this.#connectionEnd = connectionEnd;
  }

  override dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    return super.dispatch(
      options,
      new ResponseCheckHandler(handler, {
        method: options.method,
        connectionEnd: this.#connectionEnd,
      }),
    );
  }
}

/** Finds out how the current connection of a client has ended. */
class ConnectionEnd {
  #socket: Socket | undefined;
  #failed = false;
  #endReceived = false;

  /** Must be called before undici listens, which acts on these events. */
  watch(socket: Socket): void {
    this.#socket = socket;
    this.#failed = false;
    this.#endReceived = false;
    socket.once("error", () => this.#failed = true);
    socket.once("end", () => this.#endReceived = true);
  }

  /**
   * Reports whether the server is known to have ended the connection properly. Node.js also reports an
   * end where a reset arrives together with the last bytes; only a write, which fails after a reset,
   * tells them apart. It proves nothing while bytes of the request wait to be written before it, as
   * undici drops these with the connection.
   */
  verify(report: (isProper: boolean) => void): void {
    const socket = this.#socket;
    if (
      socket === undefined || this.#failed || !this.#endReceived ||
      socket.writableLength > 0
    ) {
      report(false);
      return;
    }
    socket.write(EMPTY_LINE, (err) => report(!err));
  }
}

/** Reports a response as failed if its body or its end cannot be trusted. */
class ResponseCheckHandler implements Dispatcher.DispatchHandler {
  readonly #inner: Dispatcher.DispatchHandler;
  readonly #method: string;
  readonly #connectionEnd: ConnectionEnd;
  #endsWithConnection = false;

  constructor(
    inner: Dispatcher.DispatchHandler,
    { method, connectionEnd }: {
      method: string;
      connectionEnd: ConnectionEnd;
    },
  ) {
    // The functions of undici itself use handlers of an earlier form, which it translates.
    this.#inner = inner.onRequestStart === undefined
      ? new DecoratorHandler(inner)
      : inner;
    this.#method = method;
    this.#connectionEnd = connectionEnd;
  }

  onRequestStart(
    controller: Dispatcher.DispatchController,
    context: unknown,
  ): void {
    this.#inner.onRequestStart?.(controller, context);
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
    statusMessage?: string,
  ): void {
    if (hasUnknownCoding(headers)) {
      const reason = "response has an unknown transfer coding";
      controller.abort(new InvalidResponseError(reason));
      return;
    }
    const method = this.#method;
    this.#endsWithConnection = endsWithConnection({ method, status, headers });
    this.#inner.onResponseStart?.(controller, status, headers, statusMessage);
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.#inner.onResponseData?.(controller, chunk);
  }

  onResponseEnd(
    controller: Dispatcher.DispatchController,
    trailers: Record<string, string | string[] | undefined>,
  ): void {
    const inner = this.#inner;
    if (!this.#endsWithConnection) {
      inner.onResponseEnd?.(controller, trailers);
      return;
    }
    this.#connectionEnd.verify((isProper) => {
      if (isProper) return inner.onResponseEnd?.(controller, trailers);
      const reason = "connection failed before the response was complete";
      inner.onResponseError?.(controller, new IncompleteResponseError(reason));
    });
  }

  onResponseError(
    controller: Dispatcher.DispatchController,
    err: Error,
  ): void {
    this.#inner.onResponseError?.(controller, err);
  }
}
