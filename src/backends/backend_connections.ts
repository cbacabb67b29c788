/** Connections to all backend servers. */

import type { InstanceId } from "../core/ids.ts";
import type { ServerRecord } from "../core/servers/server_record.ts";
import type { Clock } from "../runtime/clock.ts";
import { BackendConnection } from "./backend_connection.ts";

/** Idle connections kept to one server; each holds memory on both sides. */
const MAX_IDLE = 8;
/**
 * Longest idle time after which a connection is used again. Servers may close idle
 * connections earlier than they say, and a request that crosses the close is lost.
 */
const MAX_IDLE_MS = 2_500;

/** Opens, lends and keeps connections. */
export class BackendConnections {
  readonly #clock: Clock;
  readonly #idle = new Map<InstanceId, BackendConnection[]>();
  #opened = 0;

  constructor({ clock }: { clock: Clock }) {
    this.#clock = clock;
  }

  /** Connections opened so far. */
  get opened(): number {
    return this.#opened;
  }

  /**
   * Returns a connection that carries no request. A `fresh` one has never carried any,
   * so that no leftover of another answer can be on it, nor the server's close.
   */
  take(server: ServerRecord, { fresh }: { fresh: boolean }): BackendConnection {
    const known = fresh ? undefined : this.#takeIdle(server.instance);
    if (known !== undefined) return known;
    this.#opened += 1;
    return new BackendConnection(
      server.address,
      (lost) => this.#forget(server.instance, lost),
    );
  }

  /** Takes back a connection whose exchange has ended. */
  giveBack(server: ServerRecord, connection: BackendConnection): void {
    const idle = this.#idle.get(server.instance) ?? [];
    if (!connection.reusable || idle.length >= MAX_IDLE) {
      connection.destroy();
      return;
    }
    connection.markIdle(this.#clock.monotonicMs());
    idle.push(connection);
    this.#idle.set(server.instance, idle);
  }

  /** Closes the idle connections to a server that gets no new work. */
  drop(instance: InstanceId): void {
    const idle = this.#idle.get(instance) ?? [];
    this.#idle.delete(instance);
    for (const connection of idle) connection.destroy();
  }

  /** Closes all idle connections. */
  close(): void {
    for (const instance of [...this.#idle.keys()]) this.drop(instance);
  }

  #takeIdle(instance: InstanceId): BackendConnection | undefined {
    const idle = this.#idle.get(instance) ?? [];
    const nowMs = this.#clock.monotonicMs();
    // The one used last is the least likely to have been closed by the server.
    for (let next = idle.pop(); next !== undefined; next = idle.pop()) {
      const fresh = nowMs - next.idleSinceMs <= MAX_IDLE_MS;
      if (next.reusable && fresh) return next;
      next.destroy();
    }
    return undefined;
  }

  #forget(instance: InstanceId, lost: BackendConnection): void {
    const idle = this.#idle.get(instance) ?? [];
    const at = idle.indexOf(lost);
    if (at >= 0) idle.splice(at, 1);
    // Its client would otherwise keep a place for further requests.
    lost.destroy();
  }
}
