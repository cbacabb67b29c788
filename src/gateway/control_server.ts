/** HTTP servers for the platform's readiness checks, callers' address lookups and metrics. */

import fastify, { type FastifyInstance } from "fastify";
import type { CrashHistory } from "../core/crashes/crash_history.ts";
import type { MemberTable } from "../core/membership/member_table.ts";
import type { BrittleServers } from "../core/servers/brittle_servers.ts";
import type { ColdServers } from "../core/servers/cold_servers.ts";
import type { ServerDirectory } from "../core/servers/server_directory.ts";
import type { ServerLimits } from "../core/servers/server_limits.ts";
import type { ServerReachability } from "../core/servers/server_reachability.ts";
import type { ServerBackoffs } from "../core/servers/server_backoffs.ts";
import { memoryShare, socketShare } from "../core/limits/vm_shares.ts";
import { formatAddress } from "../runtime/address.ts";
import { ConnectionGuard } from "../runtime/connection_guard.ts";
import { listenHttp } from "../runtime/listen.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";
import {
  ADDRESSES_PATH,
  decodeCallerDataCentre,
  encodeAddresses,
  READINESS_PATH,
} from "../platform/caller_wire.ts";
import type { VmSettings } from "../platform/vm_settings_wire.ts";
import type { StoreEraMonitor } from "../store/store_era_monitor.ts";
import type { RoutingFollower } from "../store/routing_follower.ts";
import type { ServerFollower } from "../store/server_follower.ts";
import type { AddressList } from "./address_list.ts";
import type { ClosedConnections, ListenerName } from "./closed_connections.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { Readiness } from "./readiness.ts";

const MS_PER_SECOND = 1_000;
const METRICS_PATH = "/metrics";

interface Deps {
  readonly vmSettings: VmSettings;
  readonly readiness: Readiness;
  readonly addressList: AddressList;
  readonly gatewayMetrics: GatewayMetrics;
  readonly routingFollower: RoutingFollower;
  readonly serverDirectory: ServerDirectory;
  readonly serverFollower: ServerFollower;
  readonly storeEraMonitor: StoreEraMonitor;
  readonly memberTable: MemberTable;
  readonly coldServers: ColdServers;
  readonly serverBackoffs: ServerBackoffs;
  readonly serverLimits: ServerLimits;
  readonly serverReachability: ServerReachability;
  readonly brittleServers: BrittleServers;
  readonly crashHistory: CrashHistory;
  readonly closedConnections: ClosedConnections;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Serves readiness, addresses and metrics, each on an address of its own. */
export class ControlServer {
  readonly #deps: Deps;
  readonly #servers: FastifyInstance[] = [];

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Listens on each address given in the settings. */
  async listen(): Promise<void> {
    const { listen, ip, metricsPort } = this.#deps.vmSettings;
    const ready = listen.readiness;
    const addresses = listen.addresses;
    if (ready !== undefined) await this.#serveReadiness(ready);
    if (addresses !== undefined) await this.#serveAddresses(addresses);
    if (metricsPort === undefined) return;
    const metrics = formatAddress({ host: ip, port: metricsPort });
    try {
      await this.#serveMetrics(metrics);
    } catch (err) {
      // Serving callers takes precedence: a VM without metrics is better than no VM.
      this.#deps.logger.warn("Metrics are not served", {
        address: metrics,
        reason: (err as Error).message,
      });
    }
  }

  /** Closes all servers and their connections. */
  async close(): Promise<void> {
    await Promise.all(this.#servers.map((server) => server.close()));
  }

  async #serveReadiness(address: string): Promise<void> {
    const server = this.#createServer("readiness");
    const { readiness } = this.#deps;
    server.get(
      READINESS_PATH,
      (_req, reply) =>
        reply.code(readiness.isReady() ? 200 : 503).send({
          ready: readiness.isReady(),
        }),
    );
    await listenHttp(server, address);
  }

  async #serveAddresses(address: string): Promise<void> {
    const server = this.#createServer("addresses");
    const { addressList } = this.#deps;
    server.get(ADDRESSES_PATH, (req, reply) => {
      const query = req.url.slice(req.url.indexOf("?") + 1);
      const answer = addressList.answer(decodeCallerDataCentre(query));
      // Without any address to return, 503 makes the caller query another VM.
      if (answer.addresses.length === 0) return reply.code(503).send();
      return reply.type("application/json").send(encodeAddresses(answer));
    });
    await listenHttp(server, address);
  }

  async #serveMetrics(address: string): Promise<void> {
    const server = this.#createServer("metrics");
    const { registry } = this.#deps.gatewayMetrics;
    server.get(METRICS_PATH, async (_req, reply) => {
      this.#updateGauges();
      return reply.type(registry.contentType).send(await registry.metrics());
    });
    await listenHttp(server, address);
  }

  /** Sets the gauges to the current state as this VM sees it. */
  #updateGauges(): void {
    const { gatewayMetrics, routingFollower, memberTable } = this.#deps;
    const { serverDirectory, coldServers, serverBackoffs, serverLimits } =
      this.#deps;
    const { crashHistory, clock } = this.#deps;
    const { version, ageMs } = routingFollower.confirmation;
    gatewayMetrics.storeEra.set(this.#deps.storeEraMonitor.era);
    gatewayMetrics.configurationVersion.set(version);
    gatewayMetrics.confirmationAge.set(ageMs / MS_PER_SECOND);
    gatewayMetrics.servers.set(serverDirectory.size);
    gatewayMetrics.unreadableServers.set(
      this.#deps.serverFollower.unreadableEntries,
    );
    gatewayMetrics.evacuatedDataCentres.set(serverDirectory.evacuated.size);
    gatewayMetrics.coldServers.set(coldServers.count(clock.monotonicMs()));
    gatewayMetrics.serversInBackoff.set(
      serverBackoffs.count(clock.monotonicMs()),
    );
    gatewayMetrics.rateLimitedServers.set(
      serverLimits.count(clock.monotonicMs()),
    );
    gatewayMetrics.brittleServers.set(
      this.#deps.brittleServers.instances.length,
    );
    gatewayMetrics.leavingServers.set(serverDirectory.leavingServers().length);
    gatewayMetrics.suspectedRequests.set(crashHistory.size);
    gatewayMetrics.poisonRequests.set(crashHistory.culprits.length);
    gatewayMetrics.members.set(memberTable.others().length);
    this.#updateReachability();
  }

  #updateReachability(): void {
    const { gatewayMetrics, serverReachability, clock } = this.#deps;
    const nowMs = clock.monotonicMs();
    for (const service of serverReachability.services) {
      const isLost = serverReachability.isLost(service);
      gatewayMetrics.unreachableServices.set({ service }, isLost ? 1 : 0);
      const ageMs = serverReachability.contactAgeMs(service, nowMs);
      if (ageMs === undefined) continue;
      gatewayMetrics.serverContactAge.set({ service }, ageMs / MS_PER_SECOND);
    }
  }

  #createServer(name: ListenerName): FastifyInstance {
    const { vmSettings, closedConnections } = this.#deps;
    const server = fastify({ forceCloseConnections: true });
    new ConnectionGuard(server.server, {
      maxConnections: socketShare(vmSettings, "control_connections"),
      maxBytesAhead: memoryShare(vmSettings, "other_bytes_ahead"),
      onClosed: closedConnections.listener(name),
    });
    // Bodies are not read: a response ends the connection if one is still arriving.
    server.removeAllContentTypeParsers();
    server.addContentTypeParser("*", (_req, _body, done) => done(null));
    this.#servers.push(server);
    return server;
  }
}
