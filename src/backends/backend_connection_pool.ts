/** Pool of connections to all backend servers. */

import type { InstanceId } from "../core/ids.ts";
import type { ServerRecord } from "../core/servers/server_record.ts";
import type { Clock } from "../runtime/clock.ts";
import { BackendConnection } from "./backend_connection.ts";
import type { ResponseMemory } from "./response_limits.ts";
import type { ServerConnector } from "./server_connector.ts";

/** Idle connections kept per server; each uses memory on both sides. */
const MAX_IDLE_PER_SERVER = 8;
/**
 * Longest idle time after which a connection is still reused. Servers may close idle connections
 * earlier than they advertise, and a request sent while the server closes is lost.
 */
const MAX_REUSE_IDLE_MS = 2_500;

/** Opens connections and reuses idle ones. */
export class BackendConnectionPool {
  /** Memory for the responses on all connections. */
  readonly responseMemory: ResponseMemory;
  readonly #clock: Clock;
  readonly #connector: ServerConnector;
  readonly #idle = new Map<InstanceId, BackendConnection[]>();
  #opened = 0;

  constructor(
    { clock, serverConnector, responseMemory }: {
      clock: Clock;
      serverConnector: ServerConnector;
      responseMemory: ResponseMemory;
    },
  ) {
    this.responseMemory = responseMemory;
    this.#clock = clock;
    this.#connector = serverConnector;
  }

  /** Number of connections opened so far. */
  get opened(): number {
    return this.#opened;
  }

  /**
   * Returns a connection that carries no request. A `fresh` one is newly opened, so that it
   * cannot hold bytes of an earlier response, nor can the server be closing it as idle.
   */
  acquire(
    server: ServerRecord,
    { fresh }: { fresh: boolean },
  ): BackendConnection {
    const reused = fresh ? undefined : this.#acquireIdle(server.instance);
    if (reused !== undefined) return reused;
    this.#opened += 1;
    return new BackendConnection(server.address, {
      connector: this.#connector,
      onLost: (lost) => this.#removeIdle(server.instance, lost),
    });
  }

  /** Returns a connection to the pool after its exchange has ended. */
  release(server: ServerRecord, connection: BackendConnection): void {
    const idle = this.#idle.get(server.instance) ?? [];
    if (!connection.reusable || idle.length >= MAX_IDLE_PER_SERVER) {
      connection.destroy();
      return;
    }
    connection.markIdle(this.#clock.monotonicMs());
    idle.push(connection);
    this.#idle.set(server.instance, idle);
  }

  /** Whether an idle connection to a server is open. */
  hasIdle(instance: InstanceId): boolean {
    return this.#idle.get(instance)?.some(({ reusable }) => reusable) ?? false;
  }

  /** Closes the idle connections to a server that receives no new requests. */
  closeIdle(instance: InstanceId): void {
    const idle = this.#idle.get(instance) ?? [];
    this.#idle.delete(instance);
    for (const connection of idle) connection.destroy();
  }

  /** Closes all idle connections. */
  close(): void {
    for (const instance of [...this.#idle.keys()]) this.closeIdle(instance);
  }

  #acquireIdle(instance: InstanceId): BackendConnection | undefined {
    const idle = this.#idle.get(instance) ?? [];
    const nowMs = this.#clock.monotonicMs();
    // The most recently used connection is the least likely to have been closed by the server.
    for (let next = idle.pop(); next !== undefined; next = idle.pop()) {
      const isRecent = nowMs - next.idleSinceMs <= MAX_REUSE_IDLE_MS;
      if (next.reusable && isRecent) return next;
      next.destroy();
    }
    return undefined;
  }

  #removeIdle(instance: InstanceId, lost: BackendConnection): void {
    const idle = this.#idle.get(instance) ?? [];
    const index = idle.indexOf(lost);
    if (index >= 0) idle.splice(index, 1);
    // An undici client outlives its connection and would stay ready for further requests.
    lost.destroy();
  }
}
