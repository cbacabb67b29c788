/** The one gate that every request passes on its way to a backend server. */

import type { ServiceId } from "../core/ids.ts";
import type {
  LimitAdmission,
  SendPlace,
} from "../core/routing/limit_admission.ts";
import type { ServerDirectory } from "../core/servers/server_directory.ts";
import {
  incarnationIdOf,
  type ServerRecord,
} from "../core/servers/server_record.ts";
import type { ServerLimits } from "../core/servers/server_limits.ts";
import type { ServerBackoffs } from "../core/servers/server_backoffs.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";
import type { ColdServerGuard } from "./cold_server_guard.ts";

interface Deps {
  readonly serverDirectory: ServerDirectory;
  readonly serverBackoffs: ServerBackoffs;
  readonly serverLimits: ServerLimits;
  readonly limitAdmission: LimitAdmission;
  readonly coldServerGuard: ColdServerGuard;
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * Joins what keeps requests from servers whatever else speaks for them: that they leave, rest,
 * are cold or evacuated, or take only so much from all VMs together. Unlike the avoidance of
 * servers that have failed, there is no way past it where no other server is left.
 */
export class ServerGate {
  readonly #deps: Deps;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Servers of a service that bear a request of this VM now, as far as they are cold. */
  bearing(
    service: ServiceId,
    servers: readonly ServerRecord[],
  ): readonly ServerRecord[] {
    return this.#deps.coldServerGuard.bearing(service, servers);
  }

  /** Servers that take a request of this VM now: they do not rest, and their limit has room. */
  open(servers: readonly ServerRecord[]): readonly ServerRecord[] {
    const { serverBackoffs, serverLimits } = this.#deps;
    if (serverBackoffs.isEmpty && serverLimits.isEmpty) return servers;
    return servers.filter((server) =>
      this.#isRested(server) && this.#hasRoom(server)
    );
  }

  /** Servers that would take a request of this VM if another VM lent it a place. */
  lacking(servers: readonly ServerRecord[]): readonly ServerRecord[] {
    if (this.#deps.serverLimits.isEmpty) return [];
    return servers.filter((server) =>
      this.#isRested(server) && !this.#hasRoom(server)
    );
  }

  /** Servers of these that take only so many requests, as they say. */
  limited(servers: readonly ServerRecord[]): readonly ServerRecord[] {
    const { serverLimits } = this.#deps;
    if (serverLimits.isEmpty) return [];
    return servers.filter((server) => serverLimits.get(server) !== undefined);
  }

  /**
   * From when a server may be asked whether it still answers; undefined where it always might.
   * Questions are requests to a server that rests or counts them.
   */
  askableMs(server: ServerRecord): number | undefined {
    const { serverLimits, serverBackoffs } = this.#deps;
    if (serverLimits.get(server) !== undefined) return Infinity;
    const times = [
      serverLimits.endedAtMs(server),
      serverBackoffs.untilMs(server),
    ]
      .filter((atMs) => atMs !== undefined);
    return times.length === 0 ? undefined : Math.max(...times);
  }

  /** Whether a request that was chosen for a server may still be sent: asked at its first byte. */
  maySend(server: ServerRecord, place: SendPlace): boolean {
    const { serverDirectory, serverBackoffs, clock } = this.#deps;
    return serverDirectory.isUsable(server.instance) &&
      serverBackoffs.leftMs(server, clock.monotonicMs()) === 0 && place.take();
  }

  /** Counts a request that is about to be sent; returns its place among those of all VMs. */
  sending(server: ServerRecord): SendPlace {
    const { coldServerGuard, serverBackoffs, limitAdmission, clock, logger } =
      this.#deps;
    coldServerGuard.sending(server);
    if (serverBackoffs.recordSend(server, clock.monotonicMs())) {
      logger.info("Server is used again after its rest", {
        server: incarnationIdOf(server),
        service: server.service,
      });
    }
    return limitAdmission.reserve(server);
  }

  /** Notes that a server has taken a request that was sent at such a time. */
  took(server: ServerRecord, sentMs: number): void {
    this.#deps.serverBackoffs.recordAccepted(server, sentMs);
  }

  /**
   * Milliseconds until the first of these servers rests no longer, is warm and has room; undefined
   * where one takes requests now, or where there are none.
   */
  opensInMs(servers: readonly ServerRecord[]): number | undefined {
    const { serverBackoffs, coldServerGuard, limitAdmission, clock } =
      this.#deps;
    const nowMs = clock.monotonicMs();
    const waitsMs = servers.map((server) =>
      Math.max(
        serverBackoffs.opensInMs(server, nowMs),
        coldServerGuard.warmInMs(server),
        limitAdmission.opensInMs(server),
      )
    );
    const firstMs = Math.min(...waitsMs);
    return firstMs > 0 && firstMs < Infinity ? firstMs : undefined;
  }

  #isRested(server: ServerRecord): boolean {
    const { serverBackoffs, clock } = this.#deps;
    return serverBackoffs.isEmpty ||
      serverBackoffs.opensInMs(server, clock.monotonicMs()) === 0;
  }

  #hasRoom(server: ServerRecord): boolean {
    const { serverLimits, limitAdmission } = this.#deps;
    return serverLimits.isEmpty || limitAdmission.isOpen(server);
  }
}
