/** What other entry VMs have said of the revision that they hold, and when. */

import type { EntryId, Revision } from "../ids.ts";
import { type Holding, majorityOf } from "./holder_report.ts";

interface Statement {
  readonly revision: Revision;
  readonly atMs: number;
}

/**
 * Statements of witnesses: entry VMs that have read the head from the platform since they
 * started, and so hold again whatever they have reported to hold.
 */
export class WitnessLog {
  readonly #statements = new Map<EntryId, Statement>();

  /** Notes what a witness holds; `atMs` is when it was asked. */
  note({ entry, revision }: Holding, atMs: number): void {
    const known = this.#statements.get(entry);
    if (known !== undefined && known.atMs > atMs) return;
    this.#statements.set(entry, { revision, atMs });
  }

  /**
   * Returns since when a majority of each roster is known to hold nothing later than
   * `revision`; undefined where there is no such majority, or no roster.
   */
  confirmedAtMs(
    rosters: readonly (readonly EntryId[])[],
    revision: Revision,
  ): number | undefined {
    const times = rosters.map((roster) =>
      roster.map((entry) => this.#statedAtMs(entry, revision))
        .sort((a, b) => b - a)[majorityOf(roster) - 1] ?? -Infinity
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
