/**
 * Bounds what a cold backend server gets from all VMs together, without talking for each
 * request: a cold server belongs to a few VMs by hash, and each of these may send it a fixed
 * part of what it bears. The others send it nothing.
 */

import type { EntryId, InstanceId } from "../ids.ts";
import type { Warmup } from "../routes/route.ts";
import { HashRing } from "./hash_ring.ts";
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
/**
 * A VM that has just started knows few others and would take itself for an owner of all; it
 * sends cold servers nothing for so long, in milliseconds. VMs hear of all others within two
 * exchanges of 0.8 s.
 */
const SETTLE_MS = 4_000;
/** Points of each VM on the ring; six owners even out what few points leave uneven. */
const POINTS = 2;
/** How long the owners of a server are kept before they are looked up anew, in milliseconds. */
const KEEP_OWNERS_MS = 500;

/** VMs that this one knows. */
export interface KnownVms {
  readonly self: { readonly id: EntryId };
  /** This VM and all others, those included that were lost lately. */
  everyone(): readonly { readonly id: EntryId }[];
}

interface Row {
  readonly isOwner: boolean;
  readonly lookedUpMs: number;
}

/** Says which cold servers this VM may send a request now. */
export class ColdAdmission {
  readonly #vms: KnownVms;
  readonly #ring: HashRing;
  readonly #startedMs: number;
  readonly #rows = new Map<InstanceId, Row>();
  readonly #sentMs = new Map<InstanceId, number[]>();

  constructor(
    { memberTable, unitHash, clock }: {
      memberTable: KnownVms;
      unitHash: UnitHash;
      clock: { monotonicMs(): number };
    },
  ) {
    this.#vms = memberTable;
    this.#ring = new HashRing(unitHash, { points: POINTS });
    this.#startedMs = clock.monotonicMs();
  }

  /** Whether this VM may send a cold server one request more. */
  mayTake(
    instance: InstanceId,
    { warmup, nowMs }: { warmup: Warmup; nowMs: number },
  ): boolean {
    const { requestsPerSecond } = warmup;
    if (nowMs - this.#startedMs < SETTLE_MS) return false;
    const part = Math.max(1, Math.floor(requestsPerSecond / OWNERS));
    if (this.#sentLately(instance, nowMs).length >= part) return false;
    return this.#isOwner(instance, { requestsPerSecond, part, nowMs });
  }

  /** Counts a request that is about to be sent to a cold server. */
  sent(instance: InstanceId, nowMs: number): void {
    this.#sentMs.set(instance, [...this.#sentLately(instance, nowMs), nowMs]);
  }

  /** Forgets a server that is warm or gone. */
  forget(instance: InstanceId): void {
    this.#rows.delete(instance);
    this.#sentMs.delete(instance);
  }

  #sentLately(instance: InstanceId, nowMs: number): number[] {
    const sentMs = this.#sentMs.get(instance) ?? [];
    return sentMs.filter((atMs) => nowMs - atMs < WINDOW_MS);
  }

  #isOwner(
    instance: InstanceId,
    { requestsPerSecond, part, nowMs }: {
      requestsPerSecond: number;
      part: number;
      nowMs: number;
    },
  ): boolean {
    const known = this.#rows.get(instance);
    if (known !== undefined && nowMs - known.lookedUpMs < KEEP_OWNERS_MS) {
      return known.isOwner;
    }
    const { self } = this.#vms;
    const owners = this.#ring.nearest(this.#vms.everyone(), {
      key: `cold/${instance}`,
      idOf: ({ id }) => id,
      count: Math.max(
        1,
        Math.min(OWNERS, Math.floor(requestsPerSecond / part)),
      ),
    });
    const isOwner = owners.some(({ id }) => id === self.id);
    this.#rows.set(instance, { isOwner, lookedUpMs: nowMs });
    return isOwner;
  }
}
