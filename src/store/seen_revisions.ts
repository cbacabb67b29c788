/** Revisions of the store whose changes this VM has seen. */

/** Maximum number of revisions kept; a dropped one counts as not seen, which causes a relist. */
const MAX_REVISIONS = 10_000;

/** The store has one revision counter for all kinds, so that a gap is a missed change. */
export class SeenRevisions {
  readonly #seen = new Set<number>();

  /** Adds the revision of a change that was received. */
  add(revision: number): void {
    this.#seen.add(revision);
    if (this.#seen.size <= MAX_REVISIONS) return;
    const [oldest] = this.#seen;
    if (oldest !== undefined) this.#seen.delete(oldest);
  }

  /** Whether every change after one revision, up to another, was seen. */
  hasAll({ after, upTo }: { after: number; upTo: number }): boolean {
    if (upTo - after > MAX_REVISIONS) return false;
    for (let revision = upTo; revision > after; revision--) {
      if (!this.#seen.has(revision)) return false;
    }
    return true;
  }
}
