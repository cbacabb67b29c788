/** Opens TCP connections to backend servers. */

import type { Socket } from "node:net";
import { buildConnector } from "undici";
import type { HostPort } from "../runtime/address.ts";

/** Round trips to backend servers take a few milliseconds. */
const CONNECT_TIMEOUT_MS = 400;

/** Receives the connected socket, or why there is none. */
export type ConnectListener = (
  result: { readonly socket: Socket } | {
    readonly error: NodeJS.ErrnoException;
  },
) => void;

/** Opens connections; a test may replace it to play the faults of a network. */
export interface ServerConnector {
  /** Calls the listener once; a connection that takes too long counts as failed. */
  connect(target: HostPort, listener: ConnectListener): void;
}

// Half-open, so that it is possible to write after the server has ended the connection.
const connect = buildConnector({
  timeout: CONNECT_TIMEOUT_MS,
  allowHalfOpen: true,
});

/** Opens connections through the operating system. */
export class TcpServerConnector implements ServerConnector {
  connect({ host, port }: HostPort, listener: ConnectListener): void {
    const target = { hostname: host, port: String(port), protocol: "http:" };
    connect(target, (error, socket) => {
      listener(error === null ? { socket: socket as Socket } : { error });
    });
  }
}
