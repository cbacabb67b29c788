/** Takes in what backend servers say of themselves, whatever else becomes of their answers. */

import type { ServerLoads } from "../core/servers/server_loads.ts";
import type { ServerNotice } from "../core/servers/server_notice.ts";
import { lifeOf, type ServerRecord } from "../core/servers/server_record.ts";
import type { Logger } from "../runtime/logger.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";

interface Deps {
  readonly serverLoads: ServerLoads;
  readonly gatewayMetrics: GatewayMetrics;
  readonly logger: Logger;
}

/** Logs and counts notices. */
export class ServerNotices {
  readonly #deps: Deps;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Notes what a server has said. */
  heard(server: ServerRecord, { restMs, leaves }: ServerNotice): void {
    if (restMs > 0) this.#asksForRest(server, restMs);
    if (leaves) {
      this.#deps.logger.info("Server says that it leaves", {
        server: lifeOf(server),
        service: server.service,
        listed: server.state,
      });
    }
  }

  #asksForRest(server: ServerRecord, restMs: number): void {
    const { serverLoads, gatewayMetrics, logger } = this.#deps;
    const { instance, service } = server;
    gatewayMetrics.restsAsked.inc({ service });
    logger.info("Server asks for rest", {
      server: lifeOf(server),
      service,
      asked_ms: Math.round(restMs),
      in_flight: serverLoads.inFlight(instance),
      work_ms: Math.round(serverLoads.work(instance)),
    });
  }
}
