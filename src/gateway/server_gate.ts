/** The one gate that every request passes on its way to a backend server. */

import type { ServiceId } from "../core/ids.ts";
import type { ServerDirectory } from "../core/servers/server_directory.ts";
import { lifeOf, type ServerRecord } from "../core/servers/server_record.ts";
import type { ServerRests } from "../core/servers/server_rests.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";
import type { ColdServerGuard } from "./cold_server_guard.ts";

interface Deps {
  readonly serverDirectory: ServerDirectory;
  readonly serverRests: ServerRests;
  readonly coldServerGuard: ColdServerGuard;
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * Joins what keeps requests from servers whatever else speaks for them: that they leave, rest,
 * are cold or evacuated. Unlike the avoidance of servers that have failed, there is no way past
 * it where no other server is left.
 */
export class ServerGate {
  readonly #deps: Deps;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Servers of a service that bear a request of this VM now, but for those that rest. */
  bearing(
    service: ServiceId,
    servers: readonly ServerRecord[],
  ): readonly ServerRecord[] {
    return this.#deps.coldServerGuard.bearing(service, servers);
  }

  /** Servers that do not rest. */
  rested(servers: readonly ServerRecord[]): readonly ServerRecord[] {
    const { serverRests, clock } = this.#deps;
    if (serverRests.isEmpty) return servers;
    const nowMs = clock.monotonicMs();
    return servers.filter((server) =>
      serverRests.opensInMs(server, nowMs) === 0
    );
  }

  /** When the last rest of a server ends or has ended; undefined where it asked for none lately. */
  restedMs(server: ServerRecord): number | undefined {
    return this.#deps.serverRests.untilMs(server);
  }

  /** Whether a request that was chosen for a server may still be sent: asked at its first byte. */
  maySend(server: ServerRecord): boolean {
    const { serverDirectory, serverRests, clock } = this.#deps;
    return serverDirectory.isUsable(server.instance) &&
      serverRests.leftMs(server, clock.monotonicMs()) === 0;
  }

  /** Counts a request that is about to be sent. */
  sending(server: ServerRecord): void {
    const { coldServerGuard, serverRests, clock, logger } = this.#deps;
    coldServerGuard.sending(server);
    if (!serverRests.sending(server, clock.monotonicMs())) return;
    logger.info("Server is used again after its rest", {
      server: lifeOf(server),
      service: server.service,
    });
  }

  /** Notes that a server has taken a request that was sent at such a time. */
  took(server: ServerRecord, sentMs: number): void {
    this.#deps.serverRests.took(server, sentMs);
  }

  /**
   * Milliseconds until the first of these servers rests no longer and is warm; undefined where
   * one takes requests now, or where there are none.
   */
  opensInMs(servers: readonly ServerRecord[]): number | undefined {
    const { serverRests, coldServerGuard, clock } = this.#deps;
    const nowMs = clock.monotonicMs();
    const waitsMs = servers.map((server) =>
      Math.max(
        serverRests.opensInMs(server, nowMs),
        coldServerGuard.warmInMs(server),
      )
    );
    const firstMs = Math.min(...waitsMs);
    return firstMs > 0 && firstMs < Infinity ? firstMs : undefined;
  }
}
