/** Estimates the number of VMs in the fleet, including those that this VM cannot reach. */

import type { EntryId } from "../ids.ts";
import type { Member } from "./member.ts";

/** How long an unreachable VM is counted, in milliseconds; it may run behind a partition. */
const UNREACHABLE_RETENTION_MS = 600_000;
/** How long a VM is counted after it announced that it leaves, in milliseconds. */
const LEFT_RETENTION_MS = 60_000;

interface Sighting {
  readonly atMs: number;
  readonly isLeaving: boolean;
}

/** Counts the VMs that were seen recently. */
export class FleetSize {
  readonly #self: EntryId;
  readonly #hasOtherSeeds: () => boolean;
  readonly #seen = new Map<EntryId, Sighting>();
  #hasReachableOthers = false;

  /** `hasOtherSeeds` returns whether the settings list other VMs. */
  constructor(
    { self, hasOtherSeeds }: { self: EntryId; hasOtherSeeds: () => boolean },
  ) {
    this.#self = self;
    this.#hasOtherSeeds = hasOtherSeeds;
  }

  /** Updates the estimate from all known members, including dead ones. */
  observe(members: readonly Member[], nowMs: number): void {
    const others = members.filter(({ id }) => id !== this.#self);
    this.#hasReachableOthers = others.some(({ state }) => state !== "dead");
    for (const { id, state } of others) {
      if (state === "dead" && this.#seen.has(id)) continue;
      this.#seen.set(id, { atMs: nowMs, isLeaving: state === "leaving" });
    }
    for (const [id, { atMs, isLeaving }] of this.#seen) {
      if (
        nowMs - atMs >
          (isLeaving ? LEFT_RETENTION_MS : UNREACHABLE_RETENTION_MS)
      ) this.#seen.delete(id);
    }
  }

  /** Estimated number of VMs; undefined if other VMs are configured and none is known. */
  get count(): number | undefined {
    if (this.#seen.size === 0 && this.#hasOtherSeeds()) return undefined;
    return this.#seen.size + 1;
  }

  /** Whether other VMs may exist, but none is reachable. */
  get isIsolated(): boolean {
    return !this.#hasReachableOthers && this.count !== 1;
  }
}
