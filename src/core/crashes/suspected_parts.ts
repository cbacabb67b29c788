/** The prompt parts under suspicion, with the crash reports of each. */

import type { AccountId, PartKey } from "../ids.ts";
import type { CrashReport } from "./crash_report.ts";

/** Maximum number of parts in all reports together; bounds memory to about 4 MB. */
const MAX_ENTRIES = 16_384;
/** Entries left after parts were dropped, so that this is not needed for each new report. */
const ENTRIES_KEPT = 12_288;
/** A prime far larger than the steps between neighbours, which spreads them evenly. */
const SHUFFLE_STRIDE = 7_919;

interface SuspectedPart {
  readonly part: PartKey;
  readonly reports: Set<CrashReport>;
}

/** Index of the parts of all reports. */
export class SuspectedParts {
  readonly #byPart = new Map<PartKey, SuspectedPart>();
  #entries = 0;
  /** Number of times that parts were dropped. */
  #trims = 0;

  /** Whether a part is suspected of any crash. */
  has(part: PartKey): boolean {
    return this.#byPart.has(part);
  }

  /** Reports in which a part is suspected. */
  reportsOf(part: PartKey): ReadonlySet<CrashReport> {
    return this.#byPart.get(part)?.reports ?? new Set();
  }

  /** Adds a part to a report; returns whether it is new there. */
  add(part: PartKey, report: CrashReport): boolean {
    const known = this.#byPart.get(part) ?? { part, reports: new Set() };
    // The same string for all reports takes memory only once.
    if (!report.addPart(known.part)) return false;
    this.#byPart.set(known.part, known);
    known.reports.add(report);
    this.#entries += 1;
    return true;
  }

  /** Removes a part from a report of a crash that it did not cause. */
  clear(part: PartKey, report: CrashReport): void {
    report.clearPart(part);
    this.#remove(part, report);
  }

  /** Removes a report with all of its parts. */
  removeReport(report: CrashReport): void {
    for (const part of report.parts) this.#remove(part, report);
  }

  /** Drops the least suspected parts if there are too many. */
  trim(): void {
    if (this.#entries <= MAX_ENTRIES) return;
    for (const { part, reports } of this.#bySuspicion()) {
      if (this.#entries <= ENTRIES_KEPT) return;
      for (const report of reports) report.dropPart(part);
      this.#byPart.delete(part);
      this.#entries -= reports.size;
    }
  }

  #remove(part: PartKey, report: CrashReport): void {
    const known = this.#byPart.get(part);
    if (known === undefined || !known.reports.delete(report)) return;
    this.#entries -= 1;
    if (known.reports.size === 0) this.#byPart.delete(part);
  }

  /**
   * Returns the parts, the least suspected first: those of the account with the most, so that one
   * caller cannot displace the parts of others; among them those under which the fewest servers
   * crashed; then those of many requests on one server, most of which were bystanders.
   */
  #bySuspicion(): SuspectedPart[] {
    const entries = new Map<AccountId | undefined, number>();
    const entriesOf = (account: AccountId | undefined) =>
      entries.get(account) ?? 0;
    this.#trims += 1;
    const size = this.#byPart.size;
    const ranked = [...this.#byPart.values()].map((suspected, position) => {
      const { reports } = suspected;
      const crashes = countCrashes(reports);
      const [first] = reports;
      const account = first?.crash.account;
      entries.set(account, entriesOf(account) + reports.size);
      return {
        suspected,
        account,
        crashes,
        requestsPerCrash: reports.size / crashes,
        // Among equals others are dropped each time, so that none is always among them.
        turn: ((position + this.#trims) * SHUFFLE_STRIDE) % size,
      };
    });
    return ranked
      .sort((a, b) =>
        entriesOf(b.account) - entriesOf(a.account) ||
        a.crashes - b.crashes ||
        b.requestsPerCrash - a.requestsPerCrash ||
        a.turn - b.turn
      )
      .map(({ suspected }) => suspected);
  }
}

/** Number of servers that crashed under the requests of these reports. */
export function countCrashes(reports: ReadonlySet<CrashReport>): number {
  if (reports.size <= 1) return reports.size;
  return new Set([...reports].map(({ crash }) => crash.life)).size;
}
