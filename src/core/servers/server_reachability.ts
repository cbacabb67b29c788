/** Tracks which services this VM can reach any backend server of. */

import type { InstanceId, ServiceId } from "../ids.ts";

/** A change of the reachability of a service, for logs. */
export type ReachabilityChange =
  | {
    readonly tag: "lost";
    readonly service: ServiceId;
    /** Time since the last byte or connection, in milliseconds; undefined if there was none. */
    readonly contactAgeMs: number | undefined;
  }
  | {
    readonly tag: "regained";
    readonly service: ServiceId;
    /** Duration of the loss, in milliseconds. */
    readonly lostMs: number;
  };

/** Result of one round of connection attempts to some servers of a service. */
export interface ProbeRound {
  readonly startedMs: number;
  readonly endedMs: number;
  /** Servers that could not be connected to; no other server was tried. */
  readonly failed: readonly InstanceId[];
}

/** A round in which all connections fail within this time shows that they are refused or reset. */
const FAST_ROUND_MS = 100;

interface ServiceState {
  contactMs: number | undefined;
  lostSinceMs: number | undefined;
  /** Duration of the last failed round. */
  failedRoundMs: number;
}

/**
 * A service is lost while no connection to any of its servers succeeds. That the servers are down
 * looks the same from here: only other VMs can tell the difference.
 */
export class ServerReachability {
  readonly #services = new Map<ServiceId, ServiceState>();

  /** Records a byte from a server or a connection to it; returns the change, if there is one. */
  recordContact(
    service: ServiceId,
    nowMs: number,
  ): ReachabilityChange | undefined {
    const state = this.#of(service);
    state.contactMs = nowMs;
    return this.#regain(service, nowMs);
  }

  /** Records a round in which no server could be connected to; returns the change, if any. */
  recordFailedRound(
    service: ServiceId,
    { startedMs, endedMs, failed }: ProbeRound,
  ): ReachabilityChange | undefined {
    if (failed.length === 0) return undefined;
    const state = this.#of(service);
    state.failedRoundMs = endedMs - startedMs;
    if (state.lostSinceMs !== undefined) return undefined;
    // Bytes that arrived meanwhile show that only these servers, or only new connections, fail.
    if (state.contactMs !== undefined && state.contactMs >= startedMs) {
      return undefined;
    }
    state.lostSinceMs = endedMs;
    const contactAgeMs = this.contactAgeMs(service, endedMs);
    return { tag: "lost", service, contactAgeMs };
  }

  /** Forgets the loss of a service that has no servers left, as there is nothing to reach. */
  recordNoServers(
    service: ServiceId,
    nowMs: number,
  ): ReachabilityChange | undefined {
    return this.#regain(service, nowMs);
  }

  /** Whether no server of a service can be reached. */
  isLost(service: ServiceId): boolean {
    return this.#services.get(service)?.lostSinceMs !== undefined;
  }

  /** Whether connections to the servers of a lost service fail at once rather than hang. */
  failsFast(service: ServiceId): boolean {
    return (this.#services.get(service)?.failedRoundMs ?? 0) < FAST_ROUND_MS;
  }

  /** Services of which no server can be reached, in alphabetical order. */
  get lostServices(): readonly ServiceId[] {
    return [...this.#services.keys()].filter((service) => this.isLost(service))
      .sort();
  }

  /** Services of which a server was reached or tried. */
  get services(): readonly ServiceId[] {
    return [...this.#services.keys()];
  }

  /** Time since the last contact with a server, in milliseconds; undefined if there was none. */
  contactAgeMs(service: ServiceId, nowMs: number): number | undefined {
    const { contactMs } = this.#services.get(service) ?? {};
    return contactMs === undefined ? undefined : nowMs - contactMs;
  }

  #regain(service: ServiceId, nowMs: number): ReachabilityChange | undefined {
    const state = this.#of(service);
    const { lostSinceMs } = state;
    if (lostSinceMs === undefined) return undefined;
    state.lostSinceMs = undefined;
    return { tag: "regained", service, lostMs: nowMs - lostSinceMs };
  }

  #of(service: ServiceId): ServiceState {
    const known = this.#services.get(service);
    if (known !== undefined) return known;
    const state = {
      contactMs: undefined,
      lostSinceMs: undefined,
      failedRoundMs: 0,
    };
    this.#services.set(service, state);
    return state;
  }
}
