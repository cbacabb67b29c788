/** Finds out whether this VM still reaches the backend servers of each service. */

import { probeConnection } from "../backends/connection_probe.ts";
import type { ServerConnector } from "../backends/server_connector.ts";
import type { ServiceId } from "../core/ids.ts";
import type { ServerDirectory } from "../core/servers/server_directory.ts";
import type { ServerLoads } from "../core/servers/server_loads.ts";
import type {
  ReachabilityChange,
  ServerReachability,
} from "../core/servers/server_reachability.ts";
import type { ServerRecord } from "../core/servers/server_record.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";

/** Servers of a service to which connections are opened in one round. */
const SERVERS_PER_ROUND = 3;
/** Shortest interval between the starts of two rounds for a service. */
const ROUND_INTERVAL_MS = 300;

interface Deps {
  readonly serverReachability: ServerReachability;
  readonly serverDirectory: ServerDirectory;
  readonly serverLoads: ServerLoads;
  readonly serverConnector: ServerConnector;
  readonly clock: Clock;
  readonly chance: () => number;
  readonly logger: Logger;
}

/** Outcome of one connection attempt. */
interface ProbeResult {
  readonly server: ServerRecord;
  /** Error code; undefined if the server was connected to. */
  readonly reason: string | undefined;
}

/**
 * Opens connections to some servers of a service once an attempt there could not be sent, and goes
 * on until one succeeds. Without failed attempts it opens none.
 */
export class ReachabilityMonitor {
  readonly #deps: Deps;
  readonly #roundStartedMs = new Map<ServiceId, number>();
  /** Index of the server with which the next round begins. */
  readonly #nextServer = new Map<ServiceId, number>();
  readonly #timers = new Map<ServiceId, NodeJS.Timeout>();
  #stopped = false;
  #onChange: (lostServices: readonly ServiceId[]) => void = () => {};

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Sets the listener that is called when a service is lost or regained. */
  onChange(listener: (lostServices: readonly ServiceId[]) => void): void {
    this.#onChange = listener;
  }

  /** Records a byte from a server of a service. */
  recordContact(service: ServiceId): void {
    const { serverReachability, clock } = this.#deps;
    this.#apply(serverReachability.recordContact(service, clock.monotonicMs()));
  }

  /** Checks a service to one of whose servers an attempt could not be sent in time. */
  suspect(service: ServiceId): void {
    const nowMs = this.#deps.clock.monotonicMs();
    const startedMs = this.#roundStartedMs.get(service) ?? -Infinity;
    if (nowMs - startedMs < ROUND_INTERVAL_MS) return;
    if (this.#timers.has(service)) return;
    void this.#round(service);
  }

  /** Stops all checks. */
  stop(): void {
    this.#stopped = true;
    for (const timer of this.#timers.values()) clearTimeout(timer);
    this.#timers.clear();
  }

  async #round(service: ServiceId): Promise<void> {
    const { serverReachability, clock } = this.#deps;
    this.#timers.delete(service);
    const startedMs = clock.monotonicMs();
    this.#roundStartedMs.set(service, startedMs);
    const results = await Promise.all(
      this.#chooseServers(service).map((server) => this.#probe(server)),
    );
    if (this.#stopped) return;
    const endedMs = clock.monotonicMs();
    if (results.length === 0) {
      this.#apply(serverReachability.recordNoServers(service, endedMs));
      return;
    }
    const failed = results.filter(({ reason }) => reason !== undefined);
    if (failed.length < results.length) return this.recordContact(service);
    const change = serverReachability.recordFailedRound(service, {
      startedMs,
      endedMs,
      failed: failed.map(({ server }) => server.instance),
    });
    this.#apply(change, results);
    if (!serverReachability.isLost(service)) return;
    const elapsedMs = endedMs - startedMs;
    const timer = setTimeout(
      () => void this.#round(service),
      Math.max(0, ROUND_INTERVAL_MS - elapsedMs),
    );
    this.#timers.set(service, timer);
  }

  async #probe(server: ServerRecord): Promise<ProbeResult> {
    const { serverConnector } = this.#deps;
    const reason = await probeConnection(serverConnector, server.address);
    return { server, reason };
  }

  /** The next few servers of the list; rounds take turns, beginning at a random server. */
  #chooseServers(service: ServiceId): ServerRecord[] {
    const { serverDirectory, chance } = this.#deps;
    const servers = serverDirectory.usable(service);
    const first = this.#nextServer.get(service) ??
      Math.floor(chance() * servers.length);
    this.#nextServer.set(service, first + SERVERS_PER_ROUND);
    const count = Math.min(SERVERS_PER_ROUND, servers.length);
    return Array.from(
      { length: count },
      (_, at) => servers[(first + at) % servers.length],
    ).filter((server) => server !== undefined);
  }

  #apply(
    change: ReachabilityChange | undefined,
    results: readonly ProbeResult[] = [],
  ): void {
    if (change === undefined) return;
    const { logger, serverReachability, serverDirectory, serverLoads } =
      this.#deps;
    const { service } = change;
    // Failures before the loss, and ejections since, say nothing about the servers.
    for (const { instance } of serverDirectory.usable(service)) {
      serverLoads.forgetFailures(instance);
    }
    this.#onChange(serverReachability.lostServices);
    const lost = serverReachability.lostServices.join(",");
    if (change.tag === "regained") {
      const lostMs = Math.round(change.lostMs);
      logger.info("Backend servers of a service are reachable again", {
        service,
        lost_ms: lostMs,
        lost,
      });
      return;
    }
    const { contactAgeMs } = change;
    logger.warn("No backend server of a service is reachable", {
      service,
      contact_age_ms: contactAgeMs === undefined
        ? undefined
        : Math.round(contactAgeMs),
      probed: results.map(({ server, reason }) =>
        `${server.instance} ${reason}`
      ).join(", "),
      lost,
    });
  }
}
