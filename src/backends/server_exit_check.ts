/** Tells servers that have ended from connections that broke off. */

import { connect } from "node:net";
import type { InstanceId } from "../core/ids.ts";
import type { ServerRecord } from "../core/servers/server_record.ts";
import { parseAddress } from "../runtime/address.ts";

/** Longest wait for a connection; servers stand a few milliseconds away. */
const CONNECT_TIMEOUT_MS = 400;
const REFUSED = "ECONNREFUSED";

/** Asks servers for a connection, each once at a time. */
export class ServerExitCheck {
  readonly #asked = new Map<InstanceId, Promise<boolean>>();

  /**
   * Whether nothing listens where the server was: its process has ended. A server that
   * takes the connection has only lost one, and one that says nothing may be cut off.
   */
  hasExited({ instance, address }: ServerRecord): Promise<boolean> {
    const known = this.#asked.get(instance);
    if (known !== undefined) return known;
    const asked = isRefused(address)
      .finally(() => this.#asked.delete(instance));
    this.#asked.set(instance, asked);
    return asked;
  }
}

function isRefused(address: string): Promise<boolean> {
  const { host, port } = parseAddress(address);
  return new Promise((resolve) => {
    const socket = connect({ host, port, timeout: CONNECT_TIMEOUT_MS });
    const end = (refused: boolean) => {
      socket.destroy();
      resolve(refused);
    };
    socket.once("connect", () => end(false));
    socket.once("timeout", () => end(false));
    socket.once("error", (err: NodeJS.ErrnoException) => {
      end(err.code === REFUSED);
    });
  });
}
