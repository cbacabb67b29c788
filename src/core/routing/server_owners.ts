/** Gives each backend server to a few VMs by hash, the same ones as seen by all VMs. */

import type { EntryId, InstanceId } from "../ids.ts";
import { HashRing } from "./hash_ring.ts";
import type { UnitHash } from "./version_choice.ts";

/**
 * A VM that has just started knows few others and would take itself for an owner of all; it owns
 * nothing for so long, in milliseconds. VMs hear of all others within two exchanges of 0.8 s.
 */
const SETTLE_MS = 4_000;
/** Points of each VM on the ring; several owners even out what few points leave uneven. */
const POINTS = 2;
/** How long the owners of a server are kept before they are looked up anew, in milliseconds. */
const KEEP_MS = 500;

interface Row {
  readonly owners: readonly EntryId[];
  readonly count: number;
  readonly lookedUpMs: number;
}

/** What owners are chosen among, and for what. */
export interface OwnersOptions {
  readonly self: EntryId;
  readonly vms: () => readonly { readonly id: EntryId }[];
  readonly unitHash: UnitHash;
  /** Keeps what is owned for one purpose apart from what is owned for another. */
  readonly purpose: string;
  readonly startedMs: number;
}

/** Says which VMs own a server, as far as this VM knows them. */
export class ServerOwners {
  readonly #options: OwnersOptions;
  readonly #ring: HashRing;
  readonly #rows = new Map<InstanceId, Row>();

  constructor(options: OwnersOptions) {
    this.#options = options;
    this.#ring = new HashRing(options.unitHash, { points: POINTS });
  }

  /** Milliseconds until this VM may own servers; 0 where it may. */
  settlesInMs(nowMs: number): number {
    return Math.max(0, this.#options.startedMs + SETTLE_MS - nowMs);
  }

  /** Whether this VM is one of the first `count` owners of a server. */
  isOwner(
    instance: InstanceId,
    at: { count: number; nowMs: number },
  ): boolean {
    if (this.settlesInMs(at.nowMs) > 0) return false;
    return this.owners(instance, at).includes(this.#options.self);
  }

  /** The first `count` owners of a server. */
  owners(
    instance: InstanceId,
    { count, nowMs }: { count: number; nowMs: number },
  ): readonly EntryId[] {
    const known = this.#rows.get(instance);
    const isFresh = known !== undefined && known.count === count &&
      nowMs - known.lookedUpMs < KEEP_MS;
    if (isFresh) return known.owners;
    const { vms, purpose } = this.#options;
    const owners = this.#ring.nearest(vms(), {
      key: `${purpose}/${instance}`,
      idOf: ({ id }) => id,
      count,
    }).map(({ id }) => id);
    this.#rows.set(instance, { owners, count, lookedUpMs: nowMs });
    return owners;
  }

  /** Forgets a server. */
  forget(instance: InstanceId): void {
    this.#rows.delete(instance);
  }
}
