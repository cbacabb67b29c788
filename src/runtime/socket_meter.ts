/** Counts the bytes of a kind of connection. */

import type { Socket } from "node:net";
import { Agent, buildConnector } from "undici";

/** Bytes since the start. */
export interface Traffic {
  readonly received: number;
  readonly sent: number;
}

/** Adds up sockets that are open and that have been closed. */
export class SocketMeter {
  readonly #open = new Set<Socket>();
  #received = 0;
  #sent = 0;

  /** Counts a socket from now on. */
  track(socket: Socket): void {
    if (this.#open.has(socket)) return;
    this.#open.add(socket);
    socket.once("close", () => {
      this.#open.delete(socket);
      this.#received += socket.bytesRead;
      this.#sent += socket.bytesWritten;
    });
  }

  /** Bytes so far. */
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

/** Returns an HTTP client whose connections are counted. */
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
