/** Admission control that applies to every request sent to a backend server. */

import type { ServiceId } from "../core/ids.ts";
import type {
  LimitAdmission,
  SendReservation,
} from "../core/routing/limit_admission.ts";
import type { ServerDirectory } from "../core/servers/server_directory.ts";
import {
  incarnationIdOf,
  type ServerRecord,
} from "../core/servers/server_record.ts";
import type { ServerLimits } from "../core/servers/server_limits.ts";
import type { BrittleServers } from "../core/servers/brittle_servers.ts";
import type { SlotShare } from "../core/routing/slot_share.ts";
import type { ServerLoads } from "../core/servers/server_loads.ts";
import type { ServerBackoffs } from "../core/servers/server_backoffs.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";
import type { ColdServerGuard } from "./cold_server_guard.ts";

interface Deps {
  readonly serverDirectory: ServerDirectory;
  readonly serverBackoffs: ServerBackoffs;
  readonly serverLimits: ServerLimits;
  readonly limitAdmission: LimitAdmission;
  readonly brittleServers: BrittleServers;
  readonly serverLoads: Pick<ServerLoads, "inFlight">;
  readonly slotShare: Pick<SlotShare, "of">;
  readonly coldServerGuard: ColdServerGuard;
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * Combines the conditions under which a server must not receive a request: it is draining,
 * evacuated, in a backoff period that it requested, over its slow-start limit, or at its rate limit
 * across all VMs. Unlike the ejection of failed servers, these conditions hold even if no other
 * server is left.
 */
export class ServerAdmission {
  readonly #deps: Deps;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Servers whose slow-start limit admits a request from this VM now; warm servers always do. */
  filterBySlowStart(
    service: ServiceId,
    servers: readonly ServerRecord[],
  ): readonly ServerRecord[] {
    return this.#deps.coldServerGuard.withWarmupCapacity(service, servers);
  }

  /** Servers that accept a request from this VM now: not in backoff, and within their rate limit. */
  filterAvailable(servers: readonly ServerRecord[]): readonly ServerRecord[] {
    const { serverBackoffs, serverLimits } = this.#deps;
    const isUnrestricted = serverBackoffs.isEmpty && serverLimits.isEmpty &&
      this.#deps.brittleServers.isEmpty;
    if (isUnrestricted) return servers;
    return servers.filter((server) =>
      this.#isOutOfBackoff(server) && this.#hasPermit(server) &&
      this.#brittleWaitMs(server) === 0
    );
  }

  /** Servers for which this VM lacks only a rate-limit permit, which another VM could grant. */
  filterWithoutPermit(
    servers: readonly ServerRecord[],
  ): readonly ServerRecord[] {
    if (this.#deps.serverLimits.isEmpty) return [];
    return servers.filter((server) =>
      this.#isOutOfBackoff(server) && !this.#hasPermit(server)
    );
  }

  /** Those of the given servers that advertise a rate limit. */
  filterRateLimited(servers: readonly ServerRecord[]): readonly ServerRecord[] {
    const { serverLimits } = this.#deps;
    if (serverLimits.isEmpty) return [];
    return servers.filter((server) => serverLimits.get(server) !== undefined);
  }

  /**
   * Earliest time at which a server may be probed; undefined if there was never a restriction.
   * Probes count as requests, so a rate-limited server is never probed, and one that backs off
   * only after its backoff period.
   */
  earliestProbeMs(server: ServerRecord): number | undefined {
    const { serverLimits, serverBackoffs } = this.#deps;
    if (serverLimits.get(server) !== undefined) return Infinity;
    const times = [
      serverLimits.endedAtMs(server),
      serverBackoffs.untilMs(server),
    ]
      .filter((atMs) => atMs !== undefined);
    return times.length === 0 ? undefined : Math.max(...times);
  }

  /** Whether a request may still be sent to its server; checked right before its first byte. */
  maySend(server: ServerRecord, reservation: SendReservation): boolean {
    const { serverDirectory, serverBackoffs, clock } = this.#deps;
    return serverDirectory.isUsable(server.instance) &&
      serverBackoffs.leftMs(server, clock.monotonicMs()) === 0 &&
      // The request itself counts as in flight already.
      this.#brittleWaitMs(server, { counted: 1 }) === 0 &&
      reservation.tryAcquire();
  }

  /** Counts a request that is about to be sent, and reserves a rate-limit permit for it. */
  reserve(server: ServerRecord): SendReservation {
    const { coldServerGuard, serverBackoffs, limitAdmission, clock, logger } =
      this.#deps;
    coldServerGuard.recordSend(server);
    if (serverBackoffs.recordSend(server, clock.monotonicMs())) {
      logger.info(
        "Sending first request to server after its requested backoff period",
        {
          server: incarnationIdOf(server),
          service: server.service,
        },
      );
    }
    return limitAdmission.reserve(server);
  }

  /** Records that a server accepted a request sent at `sentMs`, which may end its backoff. */
  recordAccepted(server: ServerRecord, sentMs: number): void {
    this.#deps.serverBackoffs.recordAccepted(server, sentMs);
  }

  /**
   * Milliseconds until one of the servers is out of backoff, warm and within its rate limit;
   * undefined if one accepts requests now, or if there are no servers.
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
        this.#brittleWaitMs(server),
      )
    );
    const earliestMs = Math.min(...waitsMs);
    return earliestMs > 0 && earliestMs < Infinity ? earliestMs : undefined;
  }

  #isOutOfBackoff(server: ServerRecord): boolean {
    const { serverBackoffs, clock } = this.#deps;
    return serverBackoffs.isEmpty ||
      serverBackoffs.opensInMs(server, clock.monotonicMs()) === 0;
  }

  /** Milliseconds until a brittle server probably has room; 0 for all others. */
  #brittleWaitMs(server: ServerRecord, { counted = 0 } = {}): number {
    const { brittleServers, serverLoads, slotShare, clock } = this.#deps;
    if (brittleServers.isEmpty) return 0;
    return brittleServers.opensInMs(server.instance, {
      inFlight: serverLoads.inFlight(server.instance) - counted,
      ...slotShare.of(server),
      nowMs: clock.monotonicMs(),
    });
  }

  #hasPermit(server: ServerRecord): boolean {
    const { serverLimits, limitAdmission } = this.#deps;
    return serverLimits.isEmpty || limitAdmission.canAcquire(server);
  }
}
