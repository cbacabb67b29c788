/** Counts the bytes that are transferred over a group of connections. */

import type { Socket } from "node:net";
import { Agent, buildConnector } from "undici";

/** Numbers of bytes since the start. */
export interface Traffic {
  readonly received: number;
  readonly sent: number;
}

/** Sums the traffic of open and closed sockets. */
export class SocketMeter {
  readonly #open = new Set<Socket>();
  #received = 0;
  #sent = 0;

  /** Includes a socket in the total. */
  track(socket: Socket): void {
    if (this.#open.has(socket)) return;
    this.#open.add(socket);
    socket.once("close", () => {
      this.#open.delete(socket);
      this.#received += socket.bytesRead;
      this.#sent += socket.bytesWritten;
    });
  }

  /** Total traffic so far. */
  total(): Traffic {
    let received = this.#received;
    let sent = this.#sent;
    for (const socket of this.#open) {
      received += socket.bytesRead;
      sent += socket.bytesWritten;
    }
    return { received, sent };
  }
}

/** Returns an HTTP agent whose connections are counted by `meter`. */
export function meteredAgent(
  meter: SocketMeter,
  options: Agent.Options,
): Agent {
  const connect = buildConnector(
    typeof options.connect === "object" ? options.connect : {},
  );
  return new Agent({
    ...options,
    connect: (target, done) =>
      connect(target, (...result) => {
        const [err, socket] = result;
        if (err === null) meter.track(socket);
        done(...result);
      }),
  });
}
