/** Distinguishes the exit of a server process from the loss of a connection. */

import type { InstanceId } from "../core/ids.ts";
import type { ServerRecord } from "../core/servers/server_record.ts";
import { probeConnection } from "./connection_probe.ts";
import type { ServerConnector } from "./server_connector.ts";

const CONNECTION_REFUSED = "ECONNREFUSED";

/** State of a server's process, as far as a connection attempt shows it. */
export type ProcessState = "running" | "exited" | "unknown";

/** Checks servers by connecting to them; concurrent checks of one server share a connection. */
export class ServerExitCheck {
  readonly #connector: ServerConnector;
  readonly #checks = new Map<InstanceId, Promise<ProcessState>>();

  constructor({ serverConnector }: { serverConnector: ServerConnector }) {
    this.#connector = serverConnector;
  }

  /**
   * Whether the server's process has exited, so that nothing listens at its address. If the server
   * accepts the connection, only an earlier connection was lost; if the connection times out, the
   * server may be partitioned from this VM.
   */
  async hasExited(server: ServerRecord): Promise<boolean> {
    return await this.stateOf(server) === "exited";
  }

  /** State of a server's process; unknown if the connection times out. */
  stateOf({ instance, address }: ServerRecord): Promise<ProcessState> {
    const running = this.#checks.get(instance);
    if (running !== undefined) return running;
    const check = probeConnection(this.#connector, address)
      .then((reason): ProcessState => {
        if (reason === undefined) return "running";
        return reason === CONNECTION_REFUSED ? "exited" : "unknown";
      })
      .finally(() => this.#checks.delete(instance));
    this.#checks.set(instance, check);
    return check;
  }
}
