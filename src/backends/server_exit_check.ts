/** Distinguishes the exit of a server process from the loss of a connection. */

import type { InstanceId } from "../core/ids.ts";
import type { ServerRecord } from "../core/servers/server_record.ts";
import { probeConnection } from "./connection_probe.ts";
import type { ServerConnector } from "./server_connector.ts";

const CONNECTION_REFUSED = "ECONNREFUSED";

/** Checks servers by connecting to them; concurrent checks of one server share a connection. */
export class ServerExitCheck {
  readonly #connector: ServerConnector;
  readonly #checks = new Map<InstanceId, Promise<boolean>>();

  constructor({ serverConnector }: { serverConnector: ServerConnector }) {
    this.#connector = serverConnector;
  }

  /**
   * Whether the server's process has exited, so that nothing listens at its address. If the server
   * accepts the connection, only an earlier connection was lost; if the connection times out, the
   * server may be partitioned from this VM.
   */
  hasExited({ instance, address }: ServerRecord): Promise<boolean> {
    const running = this.#checks.get(instance);
    if (running !== undefined) return running;
    const check = probeConnection(this.#connector, address)
      .then((reason) => reason === CONNECTION_REFUSED)
      .finally(() => this.#checks.delete(instance));
    this.#checks.set(instance, check);
    return check;
  }
}
