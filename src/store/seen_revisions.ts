/** Revisions of the store whose changes this VM has seen. */

import {
  type StorePosition,
  UNREPORTED_ERA,
} from "../platform/object_store.ts";

/** Maximum number of revisions kept; a dropped one counts as not seen, which causes a relist. */
const MAX_REVISIONS = 10_000;

/**
 * The store has one revision counter for all kinds, so that a gap is a missed change. Only the
 * revisions of the latest era are kept: after a restore they are given out again.
 */
export class SeenRevisions {
  readonly #seen = new Set<number>();
  #era = UNREPORTED_ERA;

  /** Adds the position of a change that was received. */
  add({ era, revision }: StorePosition): void {
    if (era < this.#era) return;
    if (era > this.#era) this.#seen.clear();
    this.#era = era;
    this.#seen.add(revision);
    if (this.#seen.size <= MAX_REVISIONS) return;
    const [oldest] = this.#seen;
    if (oldest !== undefined) this.#seen.delete(oldest);
  }

  /** Whether every change after one position, up to another, was seen. */
  hasAll(
    { after, upTo }: { after: StorePosition; upTo: StorePosition },
  ): boolean {
    if (after.era !== upTo.era) return false;
    // Without a change in this era, none of its revisions has been seen.
    if (upTo.era !== this.#era) return after.revision === upTo.revision;
    if (upTo.revision - after.revision > MAX_REVISIONS) return false;
    for (let at = upTo.revision; at > after.revision; at--) {
      if (!this.#seen.has(at)) return false;
    }
    return true;
  }
}
