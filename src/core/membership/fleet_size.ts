/** How many VMs there may be, those included that this one does not hear. */

import type { EntryId } from "../ids.ts";
import type { Member } from "./member.ts";

/** How long a VM counts that was lost: it may live on behind a cut link, in milliseconds. */
const LOST_MS = 600_000;
/** How long a VM counts that has said that it leaves, in milliseconds. */
const LEFT_MS = 60_000;

interface Seen {
  readonly atMs: number;
  readonly isLeaving: boolean;
}

/** Counts the VMs that were seen lately. */
export class FleetSize {
  readonly #self: EntryId;
  readonly #hasOtherSeeds: () => boolean;
  readonly #seen = new Map<EntryId, Seen>();
  #hearsOthers = false;

  /** `hasOtherSeeds` says whether the settings name other VMs. */
  constructor(
    { self, hasOtherSeeds }: { self: EntryId; hasOtherSeeds: () => boolean },
  ) {
    this.#self = self;
    this.#hasOtherSeeds = hasOtherSeeds;
  }

  /** Takes in the members that are known, dead ones included. */
  observe(members: readonly Member[], nowMs: number): void {
    const others = members.filter(({ id }) => id !== this.#self);
    this.#hearsOthers = others.some(({ state }) => state !== "dead");
    for (const { id, state } of others) {
      if (state === "dead" && this.#seen.has(id)) continue;
      this.#seen.set(id, { atMs: nowMs, isLeaving: state === "leaving" });
    }
    for (const [id, { atMs, isLeaving }] of this.#seen) {
      if (nowMs - atMs > (isLeaving ? LEFT_MS : LOST_MS)) this.#seen.delete(id);
    }
  }

  /** How many VMs there may be; undefined where this one has heard none that should be there. */
  get count(): number | undefined {
    if (this.#seen.size === 0 && this.#hasOtherSeeds()) return undefined;
    return this.#seen.size + 1;
  }

  /** Whether there may be other VMs, none of which is heard. */
  get isAlone(): boolean {
    return !this.#hearsOthers && this.count !== 1;
  }
}
