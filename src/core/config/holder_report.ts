/**
 * Reports of entry VMs to the platform: the revisions that they hold, and the roster of entry
 * VMs of which a majority can confirm a revision while the platform is unreachable.
 *
 * A revision is accepted once a majority of every roster holds it. Any majority that an entry VM
 * queries later overlaps with that one, so an earlier revision cannot be mistaken for current.
 */

import type { EntryId, Revision } from "../ids.ts";

/** Prefix of the platform keys of all holder reports. */
export const HOLDER_REPORT_PREFIX = "configuration/holders/";

/** An entry VM and the revision that it holds. */
export interface HeldRevision {
  readonly entry: EntryId;
  readonly revision: Revision;
}

/** Report of an entry VM, valid until the entry VM replaces it. */
export interface HolderReport {
  readonly entry: EntryId;
  /** Entry VMs to query while the platform is unreachable; empty if it queries none. */
  readonly roster: readonly EntryId[];
  /** Revisions held by the reporting entry VM and by others that reported to it. */
  readonly held: readonly HeldRevision[];
  /** Whether the platform's list of VMs has included the reporting entry VM. */
  readonly listed: boolean;
}

/** Returns the platform key of an entry VM's report. */
export function holderReportKey(entry: EntryId): string {
  return `${HOLDER_REPORT_PREFIX}${entry}`;
}

/** Returns the number of members that form a majority of a roster. */
export function majoritySize(roster: readonly EntryId[]): number {
  return Math.floor(roster.length / 2) + 1;
}

/** Returns the reports whose roster has no majority that holds at least `revision`. */
export function reportsWithoutMajority(
  reports: readonly HolderReport[],
  revision: Revision,
): HolderReport[] {
  const holders = new Set(
    reports.flatMap(({ held }) => held)
      .filter((heldRevision) => heldRevision.revision >= revision)
      .map(({ entry }) => entry),
  );
  return reports.filter(({ roster }) =>
    roster.length > 0 &&
    roster.filter((entry) => holders.has(entry)).length < majoritySize(roster)
  );
}
