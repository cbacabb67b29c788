/** Which releases of a service may get work, by the orders of roll-outs. */

import type { ReleaseId, ServiceId } from "../ids.ts";
import type { RollOutOrder } from "../servers/roll_out_order.ts";
import type { ServerRecord } from "../servers/server_record.ts";
import type { ReleaseKey, Trial } from "./trial.ts";

/**
 * A release that nobody has ordered yet is held back this long: servers and orders are
 * learnt by two watches, and the servers may show first. Also the longest time that a
 * list takes to be read again.
 */
const UNORDERED_HOLD_MS = 3_000;

/** Releases of one service that may get work. */
export interface AllowedReleases {
  /** Servers of the release that serves whatever no roll-out moves. */
  readonly stable: readonly ServerRecord[];
  /** Servers of the release on trial; empty unless a roll-out is under way. */
  readonly trial: readonly ServerRecord[];
}

/** Keeps orders and the releases that were seen. */
export class ReleaseGate {
  readonly #orders = new Map<ServiceId, RollOutOrder>();
  readonly #firstSeenMs = new Map<string, number>();
  readonly #alone = new Set<string>();
  readonly #trials = new Map<ServiceId, Trial>();
  readonly #braked = new Map<string, ReleaseKey>();

  /** Takes in an order or its state. */
  setOrder(order: RollOutOrder): void {
    // Also the state of an earlier order, which a new one carries until it is begun.
    const { service, stateRelease } = order;
    if (order.state === "rolled_back" && stateRelease !== undefined) {
      this.brake({ service, release: stateRelease });
    }
    this.#orders.set(order.service, order);
  }

  /** Forgets the order of a service. */
  removeOrder(service: ServiceId): void {
    this.#orders.delete(service);
  }

  /** Order of a service, if there is one. */
  order(service: ServiceId): RollOutOrder | undefined {
    return this.#orders.get(service);
  }

  /** Orders that are neither completed nor rolled back. */
  openOrders(): RollOutOrder[] {
    return [...this.#orders.values()].filter((order) => !isDecided(order));
  }

  /** Takes in how far a trial has come; its share never shrinks. */
  setTrial(trial: Trial): void {
    const known = this.#trials.get(trial.service);
    const older = known?.release === trial.release &&
      known.share >= trial.share;
    if (!older) this.#trials.set(trial.service, trial);
  }

  /** Share of sessions that the ordered release of a service gets now. */
  trialShare(service: ServiceId): number {
    const trial = this.#trials.get(service);
    const order = this.#orders.get(service);
    if (trial === undefined || trial.release !== order?.release) return 0;
    return trial.share;
  }

  /** Ends a trial for good; returns whether that is new. */
  brake({ service, release }: ReleaseKey): boolean {
    const key = `${service}/${release}`;
    if (this.#braked.has(key)) return false;
    this.#braked.set(key, { service, release });
    return true;
  }

  /** Whether a release was found bad. */
  isBraked({ service, release }: ReleaseKey): boolean {
    return this.#braked.has(`${service}/${release}`);
  }

  /** Releases that were found bad. */
  brakedReleases(): Iterable<ReleaseKey> {
    return this.#braked.values();
  }

  /** Splits the servers of a service by what their releases may get. */
  split(
    service: ServiceId,
    { servers, nowMs }: { servers: readonly ServerRecord[]; nowMs: number },
  ): AllowedReleases {
    const order = this.#orders.get(service);
    if (order === undefined) {
      return { stable: this.#known(service, { servers, nowMs }), trial: [] };
    }
    const ordered = servers.filter(({ release }) => release === order.release);
    // Servers of a release that was found bad stay for some seconds, into the next order.
    const others = servers.filter(({ release }) =>
      release !== order.release && !this.isBraked({ service, release })
    );
    const decided = order.stateRelease === order.release;
    if (decided && order.state === "completed") {
      return { stable: ordered, trial: [] };
    }
    const braked = (decided && order.state === "rolled_back") ||
      this.isBraked(order);
    return { stable: others, trial: braked ? [] : ordered };
  }

  /** Servers of releases that have been there long enough, or are all there is. */
  #known(
    service: ServiceId,
    { servers, nowMs }: { servers: readonly ServerRecord[]; nowMs: number },
  ): readonly ServerRecord[] {
    const releases = new Set(servers.map(({ release }) => release));
    const first = this.#firstOf(service, { releases, nowMs });
    if (first.size === releases.size) return servers;
    return servers.filter(({ release }) => first.has(release));
  }

  #firstOf(
    service: ServiceId,
    { releases, nowMs }: { releases: ReadonlySet<ReleaseId>; nowMs: number },
  ): Set<ReleaseId> {
    const known = new Set<ReleaseId>();
    const unseen = [...releases].filter((release) =>
      !this.#firstSeenMs.has(`${service}/${release}`)
    );
    // Before anything of the service was seen, its one release is the one to use.
    const alone = unseen.length === releases.size && releases.size === 1;
    for (const release of unseen) {
      this.#firstSeenMs.set(`${service}/${release}`, nowMs);
      if (alone) this.#alone.add(`${service}/${release}`);
    }
    for (const release of releases) {
      const key = `${service}/${release}`;
      const ageMs = nowMs - (this.#firstSeenMs.get(key) ?? nowMs);
      if (this.#alone.has(key) || ageMs >= UNORDERED_HOLD_MS) {
        known.add(release);
      }
    }
    return known;
  }
}

/** Whether a roll-out needs nothing more. */
function isDecided(order: RollOutOrder): boolean {
  if (order.stateRelease !== order.release) return false;
  return order.state === "completed" || order.state === "rolled_back";
}
