/** Determines which releases of a service may receive traffic, according to roll-out orders. */

import type { ReleaseId, ServiceId } from "../ids.ts";
import type { RollOutOrder } from "../servers/roll_out_order.ts";
import type { ServerRecord } from "../servers/server_record.ts";
import type { Canary, ReleaseKey } from "./canary.ts";
import { isDecided } from "./decided_roll_outs.ts";

/**
 * How long a release without an order receives no traffic: servers and orders are received by two
 * separate watches, so servers may appear before their order. Also the maximum time until a
 * list is read again.
 */
const UNORDERED_HOLD_MS = 3_000;

/** Servers of one service that may receive traffic. */
export interface EligibleServers {
  /** Servers of the release that serves all traffic outside the roll-out. */
  readonly stable: readonly ServerRecord[];
  /** Servers of the canary; empty unless a roll-out is in progress. */
  readonly canary: readonly ServerRecord[];
}

/** Tracks roll-out orders, canaries, halted releases and when releases first appeared. */
export class ReleaseGate {
  readonly #orders = new Map<ServiceId, RollOutOrder>();
  readonly #firstSeenMs = new Map<string, number>();
  readonly #initialReleases = new Set<string>();
  readonly #canaries = new Map<ServiceId, Canary>();
  readonly #halted = new Map<string, ReleaseKey>();
  /** Release of the last completed roll-out of each service. */
  readonly #completed = new Map<ServiceId, ReleaseId>();

  /** Sets the order of a service or updates its state. */
  setOrder(order: RollOutOrder): void {
    // A new order carries the state of the previous one until it is started.
    const { service, stateRelease } = order;
    if (order.state === "rolled_back" && stateRelease !== undefined) {
      this.halt({ service, release: stateRelease });
    }
    if (order.state === "completed" && stateRelease !== undefined) {
      this.#completed.set(service, stateRelease);
    }
    this.#orders.set(order.service, order);
  }

  /** Removes the order of a service. */
  removeOrder(service: ServiceId): void {
    this.#orders.delete(service);
    this.#completed.delete(service);
  }

  /** Returns the order of a service, if there is one. */
  order(service: ServiceId): RollOutOrder | undefined {
    return this.#orders.get(service);
  }

  /** Orders that are neither completed nor rolled back. */
  activeOrders(): RollOutOrder[] {
    return [...this.#orders.values()].filter((order) => !isDecided(order));
  }

  /** Updates the progress of a canary; its share never decreases. */
  setCanary(canary: Canary): void {
    const known = this.#canaries.get(canary.service);
    const isOutdated = known?.release === canary.release &&
      known.share >= canary.share;
    if (!isOutdated) this.#canaries.set(canary.service, canary);
  }

  /** Returns the share of sessions that the ordered release of a service receives now. */
  canaryShare(service: ServiceId): number {
    const canary = this.#canaries.get(service);
    const order = this.#orders.get(service);
    if (canary === undefined || canary.release !== order?.release) return 0;
    return canary.share;
  }

  /** Halts a release permanently; returns whether it was not halted before. */
  halt({ service, release }: ReleaseKey): boolean {
    const key = `${service}/${release}`;
    if (this.#halted.has(key)) return false;
    this.#halted.set(key, { service, release });
    return true;
  }

  /** Whether a release is halted. */
  isHalted({ service, release }: ReleaseKey): boolean {
    return this.#halted.has(`${service}/${release}`);
  }

  /** Returns all halted releases. */
  haltedReleases(): Iterable<ReleaseKey> {
    return this.#halted.values();
  }

  /** Returns the servers of a service that may receive traffic, by release. */
  eligibleServers(
    service: ServiceId,
    { servers, nowMs }: { servers: readonly ServerRecord[]; nowMs: number },
  ): EligibleServers {
    const order = this.#orders.get(service);
    if (order === undefined) {
      return {
        stable: this.#unorderedServers(service, { servers, nowMs }),
        canary: [],
      };
    }
    const ordered = servers.filter(({ release }) => release === order.release);
    // Servers of a halted release remain for some seconds, possibly into the next order.
    const others = servers.filter(({ release }) =>
      release !== order.release && !this.isHalted({ service, release })
    );
    const decided = order.stateRelease === order.release;
    if (decided && order.state === "completed") {
      return { stable: ordered, canary: [] };
    }
    const halted = (decided && order.state === "rolled_back") ||
      this.isHalted(order);
    return {
      stable: this.#withoutReplaced(service, others),
      canary: halted ? [] : ordered,
    };
  }

  /** Servers of the release that was completed last, unless none is left. */
  #withoutReplaced(
    service: ServiceId,
    servers: readonly ServerRecord[],
  ): readonly ServerRecord[] {
    // Servers of the release before it are being stopped, possibly into the next order.
    const completed = this.#completed.get(service);
    const current = servers.filter(({ release }) => release === completed);
    return current.length > 0 ? current : servers;
  }

  /** Without an order: servers of releases past the hold period, or of the initial release. */
  #unorderedServers(
    service: ServiceId,
    { servers, nowMs }: { servers: readonly ServerRecord[]; nowMs: number },
  ): readonly ServerRecord[] {
    const releases = new Set(servers.map(({ release }) => release));
    const unheld = this.#unheldReleases(service, { releases, nowMs });
    if (unheld.size === releases.size) return servers;
    return servers.filter(({ release }) => unheld.has(release));
  }

  #unheldReleases(
    service: ServiceId,
    { releases, nowMs }: { releases: ReadonlySet<ReleaseId>; nowMs: number },
  ): Set<ReleaseId> {
    const unheld = new Set<ReleaseId>();
    const unseen = [...releases].filter((release) =>
      !this.#firstSeenMs.has(`${service}/${release}`)
    );
    // The only release of a service at its first appearance is used without a hold period.
    const isInitial = unseen.length === releases.size && releases.size === 1;
    for (const release of unseen) {
      this.#firstSeenMs.set(`${service}/${release}`, nowMs);
      if (isInitial) this.#initialReleases.add(`${service}/${release}`);
    }
    for (const release of releases) {
      const key = `${service}/${release}`;
      const ageMs = nowMs - (this.#firstSeenMs.get(key) ?? nowMs);
      if (this.#initialReleases.has(key) || ageMs >= UNORDERED_HOLD_MS) {
        unheld.add(release);
      }
    }
    return unheld;
  }
}
