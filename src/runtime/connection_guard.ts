/** Keeps what the clients of an HTTP server may hold within limits for all of them together. */

import { subscribe } from "node:diagnostics_channel";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import {
  type ConnectionListener,
  GuardedConnection,
} from "./guarded_connection.ts";
import { TurnBudget } from "./turn_budget.ts";

/** Why a connection was closed. */
export type CloseReason =
  /** There are as many connections as the limit allows. */
  | "connections"
  /** The clients have sent too many bytes ahead, or of heads that are incomplete. */
  | "bytes_ahead";

/** Limits of one server. */
export interface ConnectionLimits {
  readonly maxConnections: number;
  /** Bytes of all connections that belong to no request under way. */
  readonly maxBytesAhead: number;
}

/** Options of a guard. */
export interface ConnectionGuardOptions extends ConnectionLimits {
  readonly onClosed?: (reason: CloseReason) => void;
}

/** Emitted by Node for each request head, also if the server answers it without a request event. */
const REQUEST_START = "http.server.request.start";
const turnBudget = new TurnBudget();
const connections = new WeakMap<Socket, GuardedConnection>();
subscribe(REQUEST_START, (message) => {
  const { socket, request, response } = message as {
    socket: Socket;
    request: IncomingMessage;
    response: ServerResponse;
  };
  connections.get(socket)?.begin(request, response);
});

/**
 * Limits connections and unparsed bytes. Beyond a limit it closes what has waited longest for its
 * client instead of refusing the newest, so that those who came first do not keep out all others.
 */
export class ConnectionGuard implements ConnectionListener {
  readonly #options: ConnectionGuardOptions;
  /** Connections without a request under way, in the order in which they began to wait. */
  readonly #waiting = new Set<GuardedConnection>();
  /** Connections with a request under way, in the order in which it began. */
  readonly #busy = new Set<GuardedConnection>();
  #bytesAhead = 0;

  constructor(server: Server, options: ConnectionGuardOptions) {
    this.#options = options;
    server.on("connection", (socket) => this.#admit(socket));
  }

  /** Number of connections that are open. */
  get connections(): number {
    return this.#waiting.size + this.#busy.size;
  }

  /** Bytes kept that belong to no request under way. */
  get bytesAhead(): number {
    return this.#bytesAhead;
  }

  onBusy(connection: GuardedConnection): void {
    this.#waiting.delete(connection);
    this.#busy.add(connection);
  }

  onWaiting(connection: GuardedConnection): void {
    this.#busy.delete(connection);
    this.#waiting.add(connection);
  }

  onKept(bytes: number): void {
    this.#bytesAhead += bytes;
    if (bytes <= 0 || this.#bytesAhead <= this.#options.maxBytesAhead) return;
    this.#options.onClosed?.("bytes_ahead");
    this.#longestKeeping()?.refuseAhead();
  }

  #admit(socket: Socket): void {
    const connection = new GuardedConnection(socket, {
      budget: turnBudget,
      listener: this,
    });
    connections.set(socket, connection);
    socket.on("close", () => this.#forget(connection));
    if (this.connections >= this.#options.maxConnections) {
      this.#options.onClosed?.("connections");
      this.#remove(this.#longestWaiting() ?? connection);
    }
    if (!socket.destroyed) this.#waiting.add(connection);
  }

  /** Returns the connection that has kept bytes for longest. */
  #longestKeeping(): GuardedConnection | undefined {
    for (const connections of [this.#waiting, this.#busy]) {
      for (const connection of connections) {
        if (connection.keptBytes > 0) return connection;
      }
    }
    return undefined;
  }

  /** Returns the connection that has waited longest for its client, if any does. */
  #longestWaiting(): GuardedConnection | undefined {
    for (const connection of this.#waiting) return connection;
    for (const connection of this.#busy) {
      if (connection.waitsForClient) return connection;
    }
    return undefined;
  }

  #remove(connection: GuardedConnection): void {
    this.#forget(connection);
    connection.socket.destroy();
  }

  #forget(connection: GuardedConnection): void {
    this.#waiting.delete(connection);
    this.#busy.delete(connection);
  }
}
