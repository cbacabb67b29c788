/** The prompt parts under suspicion, with the crash reports of each. */

import type { PartKey } from "../ids.ts";
import type { CrashReport } from "./crash_report.ts";

interface SuspectedPart {
  readonly part: PartKey;
  readonly reports: Set<CrashReport>;
}

/** Index of the parts of all reports. */
export class SuspectedParts {
  readonly #byPart = new Map<PartKey, SuspectedPart>();
  #entries = 0;

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

  #remove(part: PartKey, report: CrashReport): void {
    const known = this.#byPart.get(part);
    if (known === undefined || !known.reports.delete(report)) return;
    this.#entries -= 1;
    if (known.reports.size === 0) this.#byPart.delete(part);
  }
}
