/**
 * Bounds what a cold backend server gets from all VMs together, without talking for each
 * request: a cold server belongs to a few VMs by hash, and each of these may send it a fixed
 * part of what it bears. The others send it nothing.
 */

import type { EntryId, InstanceId } from "../ids.ts";
import type { Warmup } from "../routes/route.ts";
import { ServerOwners } from "./server_owners.ts";
import type { UnitHash } from "./version_choice.ts";

/**
 * VMs that share a cold server. Each that others wrongly take for gone, or that is not known
 * yet to all, adds one part; with six, a server gets twice what it bears only when six VMs
 * disagree with the rest. More would leave parts of less than one request a second.
 */
const OWNERS = 6;
/**
 * Time over which a VM's part is counted, in milliseconds: a second, and what requests of one
 * VM differ by on their way.
 */
const WINDOW_MS = 1_200;

/** VMs that this one knows. */
export interface KnownVms {
  readonly self: { readonly id: EntryId };
  /** This VM and all others, those included that were lost lately. */
  everyone(): readonly { readonly id: EntryId }[];
}

/** What is known of the fleet as a whole. */
export interface FleetView {
  /** Whether there may be other VMs, none of which is heard. */
  readonly isAlone: boolean;
}

/** Says which cold servers this VM may send a request now. */
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

  /** Whether this VM may send a cold server one request more. */
  mayTake(
    instance: InstanceId,
    { warmup, nowMs }: { warmup: Warmup; nowMs: number },
  ): boolean {
    // Among VMs that do not hear each other, each would be an owner of all servers.
    if (this.#fleet.isAlone) return false;
    const { requestsPerSecond } = warmup;
    const part = Math.max(1, Math.floor(requestsPerSecond / OWNERS));
    if (this.#sentLately(instance, nowMs).length >= part) return false;
    const owners = Math.min(OWNERS, Math.floor(requestsPerSecond / part));
    return this.#owners.isOwner(instance, {
      count: Math.max(1, owners),
      nowMs,
    });
  }

  /** Counts a request that is about to be sent to a cold server. */
  sent(instance: InstanceId, nowMs: number): void {
    this.#sentMs.set(instance, [...this.#sentLately(instance, nowMs), nowMs]);
  }

  /** Forgets a server that is warm or gone. */
  forget(instance: InstanceId): void {
    this.#owners.forget(instance);
    this.#sentMs.delete(instance);
  }

  #sentLately(instance: InstanceId, nowMs: number): number[] {
    const sentMs = this.#sentMs.get(instance) ?? [];
    return sentMs.filter((atMs) => nowMs - atMs < WINDOW_MS);
  }
}
