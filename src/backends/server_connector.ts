/** Opens TCP connections to backend servers. */

import type { Socket } from "node:net";
import type { HostPort } from "../runtime/address.ts";
import { MeteredSocket } from "../runtime/metered_socket.ts";
import { nextTurn } from "../runtime/next_turn.ts";

/** Round trips to backend servers take a few milliseconds. */
const CONNECT_TIMEOUT_MS = 400;
/** Idle time after which the kernel probes a connection. */
const KEEP_ALIVE_DELAY_MS = 60_000;

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

/** Opens connections through the operating system. */
export class TcpServerConnector implements ServerConnector {
  connect({ host, port }: HostPort, listener: ConnectListener): void {
    // Half-open, so that it is possible to write after the server has ended the connection.
    const socket = new MeteredSocket({ allowHalfOpen: true });
    socket.connect({ host, port });
    socket.setNoDelay(true).setKeepAlive(true, KEEP_ALIVE_DELAY_MS);
    // The timers of undici have ticks of half a second, which is longer than this timeout.
    const timer = setTimeout(
      () => void failIfConnecting(socket),
      CONNECT_TIMEOUT_MS,
    );
    const onError = (error: NodeJS.ErrnoException) => {
      clearTimeout(timer);
      listener({ error });
    };
    socket.once("error", onError);
    socket.once("connect", () => {
      clearTimeout(timer);
      socket.off("error", onError);
      listener({ socket });
    });
  }
}

/** A VM that was suspended meanwhile learns only in the next turn that the connection is open. */
async function failIfConnecting(socket: Socket): Promise<void> {
  await nextTurn();
  if (!socket.connecting) return;
  const reason = `no connection within ${CONNECT_TIMEOUT_MS} ms`;
  socket.destroy(Object.assign(new Error(reason), { code: "ETIMEDOUT" }));
}
