/** Takes in what backend servers say of themselves, whatever else becomes of their answers. */

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
  readonly serverFollower: ServerFollower;
  readonly serverLoads: ServerLoads;
  readonly gatewayMetrics: GatewayMetrics;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Keeps notices, which go before what a VM has guessed of a server. */
export class ServerNotices {
  readonly #deps: Deps;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Notes what a server has said. */
  heard(
    server: ServerRecord,
    { restMs, leaves, limitPerS }: ServerNotice,
  ): void {
    if (restMs > 0) this.#asksForRest(server, restMs);
    if (leaves) this.#deps.serverFollower.leaves(server);
    if (limitPerS !== undefined) this.#namesLimit(server, limitPerS);
  }

  /**
   * Notes a sound answer to a request that was sent at such a time. A limit holds for as long as
   * the server names it; answers that are none, as of a probe, may lack it all the same.
   */
  answered(
    server: ServerRecord,
    { limitPerS }: ServerNotice,
    sentMs: number,
  ): void {
    if (limitPerS !== undefined) return;
    const { serverLimits, logger } = this.#deps;
    if (!serverLimits.receiveNoLimit(server, sentMs)) return;
    logger.info("Server names no limit any more", {
      server: incarnationIdOf(server),
      service: server.service,
    });
  }

  #namesLimit(server: ServerRecord, limitPerS: number): void {
    const { serverLimits, serverLoads, gatewayMetrics, clock, logger } =
      this.#deps;
    const { instance, service } = server;
    gatewayMetrics.limitsNamed.inc({ service });
    const before = serverLimits.get(server);
    const atMs = clock.monotonicMs();
    if (!serverLimits.receive({ life: server, limitPerS, atMs })) return;
    logger.info("Server names a limit", {
      server: incarnationIdOf(server),
      service,
      limit_per_s: limitPerS,
      before,
      in_flight: serverLoads.inFlight(instance),
      work_ms: Math.round(serverLoads.work(instance)),
    });
  }

  #asksForRest(server: ServerRecord, restMs: number): void {
    const { serverBackoffs, serverLoads, gatewayMetrics, clock, logger } =
      this.#deps;
    const { instance, service } = server;
    gatewayMetrics.restsAsked.inc({ service });
    const nowMs = clock.monotonicMs();
    // What was on its way is turned away as well, and tells nothing new.
    if (!serverBackoffs.start(server, { restMs, nowMs })) return;
    logger.info("Server asks for rest", {
      server: incarnationIdOf(server),
      service,
      asked_ms: Math.round(restMs),
      kept_ms: Math.round(Math.min(restMs, MAX_BACKOFF_MS)),
      in_flight: serverLoads.inFlight(instance),
      work_ms: Math.round(serverLoads.work(instance)),
    });
  }
}
