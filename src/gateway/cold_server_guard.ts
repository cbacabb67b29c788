/** Limits the load on cold backend servers while they warm up. */

import type { InstanceId, ServiceId } from "../core/ids.ts";
import type { Warmup } from "../core/routes/route.ts";
import type { ColdAdmission } from "../core/routing/cold_admission.ts";
import type { ColdServers } from "../core/servers/cold_servers.ts";
import type { ServerRecord } from "../core/servers/server_record.ts";
import type { Clock } from "../runtime/clock.ts";
import type { RoutingFollower } from "../store/routing_follower.ts";

interface Deps {
  readonly coldServers: ColdServers;
  readonly coldAdmission: ColdAdmission;
  readonly routingFollower: RoutingFollower;
  readonly clock: Clock;
}

/** Combines reported warm-up times, warm-up limits of services, and this VM's share of them. */
export class ColdServerGuard {
  readonly #deps: Deps;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /**
   * Treats servers as cold when they get work again after an evacuation: they may have been
   * restarted meanwhile, and their own report may not have arrived yet.
   */
  assumeCold(servers: readonly ServerRecord[]): void {
    const { coldServers, clock } = this.#deps;
    const nowMs = clock.monotonicMs();
    for (const { instance, service } of servers) {
      const { durationMs = 0 } = this.#warmup(service) ?? {};
      coldServers.markCold(instance, { leftMs: durationMs, nowMs });
    }
  }

  /** Servers of a service that are warm, or to which this VM may send one more request now. */
  withWarmupCapacity(
    service: ServiceId,
    servers: readonly ServerRecord[],
  ): readonly ServerRecord[] {
    const { coldServers, clock } = this.#deps;
    const nowMs = clock.monotonicMs();
    const warmup = this.#warmup(service);
    if (warmup === undefined || coldServers.count(nowMs) === 0) return servers;
    return servers.filter(({ instance }) =>
      this.#hasCapacity(instance, { warmup, nowMs })
    );
  }

  /** Milliseconds until a server is warm; 0 if it is. */
  warmInMs({ instance }: ServerRecord): number {
    const { coldServers, clock } = this.#deps;
    return coldServers.leftMs(instance, clock.monotonicMs());
  }

  isCold(server: ServerRecord): boolean {
    return this.warmInMs(server) > 0;
  }

  /** Counts a request that is about to be sent against the warm-up limit of a cold server. */
  recordSend(server: ServerRecord): void {
    if (!this.isCold(server)) return;
    const { coldAdmission, clock } = this.#deps;
    coldAdmission.recordSent(server.instance, clock.monotonicMs());
  }

  #hasCapacity(
    instance: InstanceId,
    { warmup, nowMs }: { warmup: Warmup; nowMs: number },
  ): boolean {
    const { coldServers, coldAdmission } = this.#deps;
    if (coldServers.leftMs(instance, nowMs) === 0) return true;
    return coldAdmission.canSend(instance, { warmup, nowMs });
  }

  #warmup(service: ServiceId): Warmup | undefined {
    return this.#deps.routingFollower.table?.service(service)?.warmup;
  }
}
