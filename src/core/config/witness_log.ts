/** Log of the revisions that other entry VMs reported to hold, and when. */

import type { EntryId, Revision } from "../ids.ts";
import { type HeldRevision, majoritySize } from "./holder_report.ts";

interface Statement {
  readonly revision: Revision;
  readonly atMs: number;
}

/**
 * Statements of witnesses: entry VMs that have read the head from the platform since they
 * started, and thus hold at least the revision that they reported before a restart.
 */
export class WitnessLog {
  readonly #statements = new Map<EntryId, Statement>();

  /** Records the revision that a witness holds; `atMs` is when the query to it was sent. */
  record({ entry, revision }: HeldRevision, atMs: number): void {
    const previous = this.#statements.get(entry);
    if (previous !== undefined && previous.atMs > atMs) return;
    this.#statements.set(entry, { revision, atMs });
  }

  /**
   * Returns the time as of which a majority of each roster is confirmed to hold nothing later
   * than `revision`; undefined if a roster has no such majority or there is no roster.
   */
  confirmedAtMs(
    rosters: readonly (readonly EntryId[])[],
    revision: Revision,
  ): number | undefined {
    const times = rosters.map((roster) =>
      roster.map((entry) => this.#statedAtMs(entry, revision))
        .sort((a, b) => b - a)[majoritySize(roster) - 1] ?? -Infinity
    );
    const atMs = Math.min(...times);
    return Number.isFinite(atMs) ? atMs : undefined;
  }

  #statedAtMs(entry: EntryId, revision: Revision): number {
    const statement = this.#statements.get(entry);
    if (statement === undefined || statement.revision > revision) {
      return -Infinity;
    }
    return statement.atMs;
  }
}
