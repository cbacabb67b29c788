/**
 * Bounds the request rate to a cold backend server across all VMs, without coordinating on each
 * request. A hash assigns each cold server to a few owner VMs, and each owner may send it a fixed
 * share of the rate that it can sustain. Other VMs send it nothing.
 */

import type { EntryId, InstanceId } from "../ids.ts";
import type { Warmup } from "../routes/route.ts";
import { ServerOwners } from "./server_owners.ts";
import type { UnitHash } from "./version_choice.ts";

/**
 * Number of VMs that own a cold server. Each VM that others wrongly consider lost, or that is not
 * yet known to all, adds one share. With six owners a server gets twice its sustainable rate only
 * if six VMs disagree with the rest; with more, a share would be below one request per second.
 */
const MAX_OWNERS = 6;
/**
 * Window over which the requests of a VM are counted against its share, in milliseconds: one second
 * plus the variation in the transit time of its requests.
 */
const COUNT_WINDOW_MS = 1_200;

/** VMs known to this one. */
export interface KnownVms {
  readonly self: { readonly id: EntryId };
  /** Returns this VM and all others, including recently lost ones. */
  everyone(): readonly { readonly id: EntryId }[];
}

/** State of the fleet as a whole. */
export interface FleetView {
  /** Whether other VMs may exist but none of them is reachable. */
  readonly isIsolated: boolean;
}

/** Decides whether this VM may send a request to a cold server. */
export class ColdAdmission {
  readonly #fleet: FleetView;
  readonly #owners: ServerOwners;
  readonly #sentMs = new Map<InstanceId, number[]>();

  constructor(
    { memberTable, fleetSize, unitHash, clock }: {
      memberTable: KnownVms;
      fleetSize: FleetView;
      unitHash: UnitHash;
      clock: { monotonicMs(): number };
    },
  ) {
    this.#fleet = fleetSize;
    this.#owners = new ServerOwners({
      self: memberTable.self.id,
      vms: () => memberTable.everyone(),
      unitHash,
      purpose: "cold",
      startedMs: clock.monotonicMs(),
    });
  }

  /** Whether this VM may send one more request to a cold server now. */
  canSend(
    instance: InstanceId,
    { warmup, nowMs }: { warmup: Warmup; nowMs: number },
  ): boolean {
    // VMs that cannot reach each other would each regard themselves as owner of all servers.
    if (this.#fleet.isIsolated) return false;
    const { requestsPerSecond } = warmup;
    const share = Math.max(1, Math.floor(requestsPerSecond / MAX_OWNERS));
    if (this.#recentSends(instance, nowMs).length >= share) return false;
    const owners = Math.min(MAX_OWNERS, Math.floor(requestsPerSecond / share));
    return this.#owners.isOwner(instance, {
      count: Math.max(1, owners),
      nowMs,
    });
  }

  /** Counts a request that is about to be sent to a cold server. */
  recordSent(instance: InstanceId, nowMs: number): void {
    this.#sentMs.set(instance, [...this.#recentSends(instance, nowMs), nowMs]);
  }

  /** Drops the state of a server that has warmed up or no longer exists. */
  remove(instance: InstanceId): void {
    this.#owners.remove(instance);
    this.#sentMs.delete(instance);
  }

  #recentSends(instance: InstanceId, nowMs: number): number[] {
    const sentMs = this.#sentMs.get(instance) ?? [];
    return sentMs.filter((atMs) => nowMs - atMs < COUNT_WINDOW_MS);
  }
}
