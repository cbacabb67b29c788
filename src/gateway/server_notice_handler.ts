/** Handles the notices of backend servers, also where the answers they came with are discarded. */

import type { BrittleServers } from "../core/servers/brittle_servers.ts";
import type { ServerLimits } from "../core/servers/server_limits.ts";
import type { ServerLoads } from "../core/servers/server_loads.ts";
import type { ServerNotice } from "../core/servers/server_notice.ts";
import {
  incarnationIdOf,
  type ServerRecord,
} from "../core/servers/server_record.ts";
import {
  MAX_BACKOFF_MS,
  type ServerBackoffs,
} from "../core/servers/server_backoffs.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";
import type { ServerFollower } from "../store/server_follower.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";

interface Deps {
  readonly serverBackoffs: ServerBackoffs;
  readonly serverLimits: ServerLimits;
  readonly brittleServers: BrittleServers;
  readonly serverFollower: ServerFollower;
  readonly serverLoads: ServerLoads;
  readonly gatewayMetrics: GatewayMetrics;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Records server notices, which take precedence over a VM's own estimates of a server. */
export class ServerNoticeHandler {
  readonly #deps: Deps;

  #onBrittleRejection: () => void = () => {};

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Applies the backoff, shutdown and rate limit of a notice. */
  handleNotice(
    server: ServerRecord,
    { restMs, leaves, limitPerS, bearsPerS }: ServerNotice,
  ): void {
    if (bearsPerS !== undefined) this.#applyBrittle(server, bearsPerS);
    if (restMs > 0) this.#applyBackoff(server, restMs);
    if (leaves) this.#deps.serverFollower.leaves(server);
    if (limitPerS !== undefined) this.#applyLimit(server, limitPerS);
  }

  /**
   * Handles a successful answer to a request that was sent at `sentMs`. A rate limit applies for as
   * long as the server advertises it, so an answer without one ends it. Other responses, such as
   * those to probes, may omit a limit that still applies.
   */
  handleAnswer(
    server: ServerRecord,
    { limitPerS, bearsPerS }: ServerNotice,
    sentMs: number,
  ): void {
    if (bearsPerS === undefined) this.#endBrittle(server);
    if (limitPerS !== undefined) return;
    const { serverLimits, logger } = this.#deps;
    if (!serverLimits.receiveNoLimit(server, sentMs)) return;
    logger.info("Server no longer advertises a rate limit", {
      server: incarnationIdOf(server),
      service: server.service,
    });
  }

  /** Handles a rejection for want of room, which only brittle servers count. */
  handleRejection(server: ServerRecord): void {
    const { brittleServers, serverLoads, gatewayMetrics, clock } = this.#deps;
    const { instance, service } = server;
    const isBrittle = brittleServers.recordRejection(instance, {
      inFlight: serverLoads.inFlight(instance),
      nowMs: clock.monotonicMs(),
    });
    if (!isBrittle) return;
    gatewayMetrics.brittleRejections.inc({ service });
    this.#onBrittleRejection();
  }

  /** Sets the listener that is called when a brittle server rejects a request. */
  onBrittleRejection(listener: () => void): void {
    this.#onBrittleRejection = listener;
  }

  #applyBrittle(server: ServerRecord, bearsPerS: number): void {
    const { brittleServers, serverLoads, logger } = this.#deps;
    if (!brittleServers.receive(server, bearsPerS)) return;
    logger.info("Server says that it is brittle", {
      server: incarnationIdOf(server),
      service: server.service,
      bears_per_s: bearsPerS,
      in_flight: serverLoads.inFlight(server.instance),
    });
  }

  #endBrittle(server: ServerRecord): void {
    const { brittleServers, logger } = this.#deps;
    if (brittleServers.isEmpty || !brittleServers.receiveSound(server)) return;
    logger.info("Server is no longer brittle", {
      server: incarnationIdOf(server),
      service: server.service,
    });
  }

  #applyLimit(server: ServerRecord, limitPerS: number): void {
    const { serverLimits, serverLoads, gatewayMetrics, clock, logger } =
      this.#deps;
    const { instance, service } = server;
    gatewayMetrics.advertisedLimits.inc({ service });
    const before = serverLimits.get(server);
    const atMs = clock.monotonicMs();
    if (!serverLimits.receive({ life: server, limitPerS, atMs })) return;
    logger.info("Server advertises a rate limit", {
      server: incarnationIdOf(server),
      service,
      limit_per_s: limitPerS,
      before,
      in_flight: serverLoads.inFlight(instance),
      work_ms: Math.round(serverLoads.work(instance)),
    });
  }

  #applyBackoff(server: ServerRecord, restMs: number): void {
    const { serverBackoffs, serverLoads, gatewayMetrics, clock, logger } =
      this.#deps;
    const { instance, service } = server;
    gatewayMetrics.backoffRequests.inc({ service });
    const nowMs = clock.monotonicMs();
    // Requests already in flight are rejected too; their notices are not logged again.
    if (!serverBackoffs.start(server, { restMs, nowMs })) return;
    logger.info("Server requested backoff", {
      server: incarnationIdOf(server),
      service,
      asked_ms: Math.round(restMs),
      kept_ms: Math.round(Math.min(restMs, MAX_BACKOFF_MS)),
      in_flight: serverLoads.inFlight(instance),
      work_ms: Math.round(serverLoads.work(instance)),
    });
  }
}
