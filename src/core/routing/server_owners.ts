/** Assigns each backend server to a few VMs by consistent hashing, identically on all VMs. */

import type { EntryId, InstanceId } from "../ids.ts";
import { HashRing } from "./hash_ring.ts";
import type { UnitHash } from "./version_choice.ts";

/**
 * Time after its start during which a VM owns nothing, in milliseconds. It knows few other VMs at
 * first and would regard itself as an owner of every server. Membership reaches a VM completely
 * within two exchanges of 0.8 s.
 */
const SETTLE_MS = 4_000;
/** Points of each VM on the ring. Few points spread load unevenly; several owners even it out. */
const POINTS_PER_VM = 2;
/** How long the owners of a server are cached, in milliseconds. */
const OWNERS_TTL_MS = 500;

interface CachedOwners {
  readonly owners: readonly EntryId[];
  readonly count: number;
  readonly lookedUpMs: number;
}

export interface OwnersOptions {
  readonly self: EntryId;
  /** Returns the VMs that may be owners. */
  readonly vms: () => readonly { readonly id: EntryId }[];
  readonly unitHash: UnitHash;
  /** Prefix of the hash key, so that each purpose has its own assignment of owners. */
  readonly purpose: string;
  readonly startedMs: number;
}

/** Determines which VMs own a server, among the VMs known here. */
export class ServerOwners {
  readonly #options: OwnersOptions;
  readonly #ring: HashRing;
  readonly #cache = new Map<InstanceId, CachedOwners>();

  constructor(options: OwnersOptions) {
    this.#options = options;
    this.#ring = new HashRing(options.unitHash, { points: POINTS_PER_VM });
  }

  /** Milliseconds until this VM may own servers; 0 if it may already. */
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
    const cached = this.#cache.get(instance);
    const isFresh = cached !== undefined && cached.count === count &&
      nowMs - cached.lookedUpMs < OWNERS_TTL_MS;
    if (isFresh) return cached.owners;
    const { vms, purpose } = this.#options;
    const owners = this.#ring.nearest(vms(), {
      key: `${purpose}/${instance}`,
      idOf: ({ id }) => id,
      count,
    }).map(({ id }) => id);
    this.#cache.set(instance, { owners, count, lookedUpMs: nowMs });
    return owners;
  }

  /** Drops the cached owners of a server. */
  remove(instance: InstanceId): void {
    this.#cache.delete(instance);
  }
}
