/** Distinguishes the exit of a server process from the loss of a connection. */

import { connect } from "node:net";
import type { InstanceId } from "../core/ids.ts";
import type { ServerRecord } from "../core/servers/server_record.ts";
import { parseAddress } from "../runtime/address.ts";

/** Round trips to backend servers take a few milliseconds. */
const CONNECT_TIMEOUT_MS = 400;
const CONNECTION_REFUSED = "ECONNREFUSED";

/** Checks servers by connecting to them; concurrent checks of one server share a connection. */
export class ServerExitCheck {
  readonly #checks = new Map<InstanceId, Promise<boolean>>();

  /**
   * Whether the server's process has exited, so that nothing listens at its address. If the server
   * accepts the connection, only an earlier connection was lost; if the connection times out, the
   * server may be partitioned from this VM.
   */
  hasExited({ instance, address }: ServerRecord): Promise<boolean> {
    const running = this.#checks.get(instance);
    if (running !== undefined) return running;
    const check = isRefused(address)
      .finally(() => this.#checks.delete(instance));
    this.#checks.set(instance, check);
    return check;
  }
}

function isRefused(address: string): Promise<boolean> {
  const { host, port } = parseAddress(address);
  return new Promise((resolve) => {
    const socket = connect({ host, port, timeout: CONNECT_TIMEOUT_MS });
    const finish = (refused: boolean) => {
      socket.destroy();
      resolve(refused);
    };
    socket.once("connect", () => finish(false));
    socket.once("timeout", () => finish(false));
    socket.once("error", (err: NodeJS.ErrnoException) => {
      finish(err.code === CONNECTION_REFUSED);
    });
  });
}
