/** Revisions of the store whose changes this VM has seen. */

/** Revisions kept, at most; what was dropped is read again where it matters. */
const MOST_KEPT = 10_000;

/** The store has one counter for all kinds, so that a gap in it is a change that was missed. */
export class SeenRevisions {
  readonly #seen = new Set<number>();

  /** Notes the revision of a change that was told. */
  note(revision: number): void {
    this.#seen.add(revision);
    if (this.#seen.size <= MOST_KEPT) return;
    const [oldest] = this.#seen;
    if (oldest !== undefined) this.#seen.delete(oldest);
  }

  /** Whether every change after one revision, up to another, was seen. */
  hasAll({ after, upTo }: { after: number; upTo: number }): boolean {
    if (upTo - after > MOST_KEPT) return false;
    for (let revision = upTo; revision > after; revision--) {
      if (!this.#seen.has(revision)) return false;
    }
    return true;
  }
}
