/** HTTP server for operators and their metrics system. */

import fastify, { type FastifyInstance } from "fastify";
import type { ConfigurationStore } from "../core/config/configuration_store.ts";
import type { InFlightLimits } from "../core/limits/in_flight_limits.ts";
import type { MemberTable } from "../core/membership/member_table.ts";
import type { EntryMetrics } from "../metrics/entry_metrics.ts";
import type { EntryStatus } from "../protocol/status_schema.ts";
import type { Settings } from "../protocol/settings_schema.ts";
import type { SocketMeter } from "../runtime/socket_meter.ts";
import { ConnectionGuard } from "../runtime/connection_guard.ts";
import { listenHttp } from "../runtime/listen.ts";

const MAX_BYTES_AHEAD = 1_024 * 1_024;

interface Deps {
  readonly settings: Settings;
  readonly configurationStore: ConfigurationStore;
  readonly memberTable: MemberTable;
  readonly inFlightLimits: InFlightLimits;
  readonly entryMetrics: EntryMetrics;
  readonly peerMeter: SocketMeter;
  readonly platformMeter: SocketMeter;
}

/** Serves health, status and metrics to operators. */
export class OperatorServer {
  readonly #deps: Deps;
  readonly #http: FastifyInstance;

  constructor(deps: Deps) {
    this.#deps = deps;
    this.#http = fastify({ forceCloseConnections: true });
    new ConnectionGuard(this.#http.server, {
      maxConnections: deps.settings.limits.max_operator_connections,
      maxBytesAhead: MAX_BYTES_AHEAD,
    });
    // Bodies are not read: a response ends the connection if one is still arriving.
    this.#http.removeAllContentTypeParsers();
    this.#http.addContentTypeParser("*", (_req, _body, done) => done(null));
    this.#http.get("/healthz", () => ({ ok: true }));
    this.#http.get("/status", () => this.#status());
    this.#http.get("/metrics", async (_req, reply) => {
      const { registry } = this.#deps.entryMetrics;
      this.#updateTrafficMetrics();
      void reply.header("content-type", registry.contentType);
      return await registry.metrics();
    });
  }

  /** Starts listening; returns the bound address. */
  async listen(): Promise<string> {
    return await listenHttp(this.#http, this.#deps.settings.listen.operators);
  }

  /** Stops listening and closes all connections. */
  async close(): Promise<void> {
    await this.#http.close();
  }

  #updateTrafficMetrics(): void {
    const { entryMetrics, peerMeter, platformMeter } = this.#deps;
    const meters = { peers: peerMeter, platform: platformMeter };
    for (const [link, meter] of Object.entries(meters)) {
      const { received, sent } = meter.total();
      entryMetrics.controlBytes.set({ link, direction: "received" }, received);
      entryMetrics.controlBytes.set({ link, direction: "sent" }, sent);
    }
  }

  #status(): EntryStatus {
    const { memberTable, configurationStore, inFlightLimits } = this.#deps;
    const members = [memberTable.self, ...memberTable.others()];
    return {
      entry: memberTable.self.id,
      data_centre: memberTable.self.data_centre,
      revision: configurationStore.revision,
      in_flight: inFlightLimits.total,
      members: members.map(({ id, data_centre, state, revision, callers }) => ({
        id,
        data_centre,
        state,
        revision,
        callers,
      })),
    };
  }
}
