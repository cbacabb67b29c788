/**
 * What entry VMs report to the platform: which revisions they hold, and of which entry VMs a
 * majority may confirm a revision to them while the platform is away.
 *
 * A revision is accepted once a majority of every roster holds it. Any majority that an entry VM
 * asks later includes one of these, so that no earlier revision is taken for current.
 */

import type { EntryId, Revision } from "../ids.ts";

/** Prefix of the platform's keys of all reports. */
export const HOLDER_REPORT_PREFIX = "configuration/holders/";

/** One entry VM and the revision that it holds. */
export interface Holding {
  readonly entry: EntryId;
  readonly revision: Revision;
}

/** Report of one entry VM; it stands until the entry VM replaces it. */
export interface HolderReport {
  readonly entry: EntryId;
  /** Entry VMs that this one asks while the platform is away; empty where it asks none. */
  readonly roster: readonly EntryId[];
  /** The reporting entry VM, and others that told it what they hold. */
  readonly held: readonly Holding[];
  /** Whether the platform's list of VMs has named the reporting entry VM. */
  readonly listed: boolean;
}

/** Returns the platform's key of an entry VM's report. */
export function holderReportKey(entry: EntryId): string {
  return `${HOLDER_REPORT_PREFIX}${entry}`;
}

/** Number of members that are a majority of a roster. */
export function majorityOf(roster: readonly EntryId[]): number {
  return Math.floor(roster.length / 2) + 1;
}

/** Returns the rosters without a majority that holds `revision`, by what all report. */
export function rostersBehind(
  reports: readonly HolderReport[],
  revision: Revision,
): HolderReport[] {
  const holders = new Set(
    reports.flatMap(({ held }) => held)
      .filter((holding) => holding.revision >= revision)
      .map(({ entry }) => entry),
  );
  return reports.filter(({ roster }) =>
    roster.length > 0 &&
    roster.filter((entry) => holders.has(entry)).length < majorityOf(roster)
  );
}
