/** Counts the bytes that are transferred over a group of connections. */

import type { Socket } from "node:net";

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
