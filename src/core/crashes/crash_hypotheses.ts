/** Groups crash reports by what their requests have in common. */

import type { ServerIncarnation } from "../ids.ts";
import {
  CRASH_LIMIT,
  mergeCrashes,
  type ServerCrash,
  type SuspectKey,
} from "./crash.ts";
import type { CrashReport } from "./crash_report.ts";

/** Maximum number of hypotheses; bounds the work to compare them with each other. */
const MAX_HYPOTHESES = 128;

/** Maximum number of keys named in a description. */
const MAX_KEYS_NAMED = 16;

/** A possible cause of crashes: requests that hold all its keys. */
export interface Hypothesis {
  /** Identifies the hypothesis by its keys. */
  readonly id: string;
  readonly keys: ReadonlySet<SuspectKey>;
  readonly crashes: readonly ServerCrash[];
  /** Whether these are prompt parts, and not one request. */
  readonly isParts: boolean;
  /** Whether some of the reports hold further parts, which may be the cause instead. */
  readonly isAmbiguous: boolean;
}

/** Keys that occur in the same reports. */
interface KeyGroup {
  readonly keys: Set<SuspectKey>;
  readonly reports: Set<CrashReport>;
}

/**
 * Returns one hypothesis for each set of keys that always come together and under which enough
 * servers crashed. Keys that have not been seen apart cannot be told apart, so that only a request
 * with all of them is suspected. The work is linear in the number of keys of all reports.
 */
export function buildHypotheses(
  reports: readonly CrashReport[],
): Hypothesis[] {
  const frequent = frequentKeys(reports);
  const groupsByReport = groupKeys(reports, frequent);
  const groups = new Set([...groupsByReport.values()].flat());
  // A culprit takes part in each crash that it causes, and soon in more than others do.
  return [...groups]
    .map((group) => ({ group, crashes: countCrashes(group) }))
    .sort((a, b) => b.crashes - a.crashes)
    .slice(0, MAX_HYPOTHESES)
    .map(({ group }) => hypothesisOf(group, groupsByReport));
}

/** Returns the keys under which enough servers crashed. */
function frequentKeys(reports: readonly CrashReport[]): Set<SuspectKey> {
  const byLife = new Map<ServerIncarnation, CrashReport[]>();
  for (const report of reports) {
    const { life } = report.crash;
    const same = byLife.get(life);
    if (same === undefined) byLife.set(life, [report]);
    else same.push(report);
  }
  const counts = new Map<SuspectKey, number>();
  for (const same of byLife.values()) {
    for (const key of new Set(same.flatMap(keysOf))) {
      counts.set(key, (counts.get(key) ?? 0) + 1);
    }
  }
  const frequent = new Set<SuspectKey>();
  for (const [key, count] of counts) {
    if (count >= CRASH_LIMIT) frequent.add(key);
  }
  return frequent;
}

function countCrashes({ reports }: KeyGroup): number {
  return new Set([...reports].map(({ crash }) => crash.life)).size;
}

function keysOf({ crash, parts }: CrashReport): SuspectKey[] {
  return [crash.request, ...parts];
}

/** Returns the groups of the frequent keys in each report, by partition refinement. */
function groupKeys(
  reports: readonly CrashReport[],
  frequent: ReadonlySet<SuspectKey>,
): ReadonlyMap<CrashReport, readonly KeyGroup[]> {
  const groupOf = new Map<SuspectKey, KeyGroup>();
  for (const report of reports) {
    const keysByGroup = new Map<KeyGroup | undefined, SuspectKey[]>();
    for (const key of keysOf(report)) {
      if (!frequent.has(key)) continue;
      const group = groupOf.get(key);
      const keys = keysByGroup.get(group);
      if (keys === undefined) keysByGroup.set(group, [key]);
      else keys.push(key);
    }
    for (const [group, keys] of keysByGroup) {
      if (group?.keys.size === keys.length) {
        group.reports.add(report);
        continue;
      }
      const reports = new Set([...group?.reports ?? [], report]);
      const split: KeyGroup = { keys: new Set(keys), reports };
      for (const key of keys) {
        group?.keys.delete(key);
        groupOf.set(key, split);
      }
    }
  }
  const groupsByReport = new Map<CrashReport, KeyGroup[]>();
  for (const group of new Set(groupOf.values())) {
    for (const report of group.reports) {
      const groups = groupsByReport.get(report);
      if (groups === undefined) groupsByReport.set(report, [group]);
      else groups.push(group);
    }
  }
  return groupsByReport;
}

function hypothesisOf(
  group: KeyGroup,
  groupsByReport: ReadonlyMap<CrashReport, readonly KeyGroup[]>,
): Hypothesis {
  const reports = [...group.reports];
  // Keys in all reports of the group are in its first one, too.
  const [first] = reports;
  const candidates = first === undefined ? [] : groupsByReport.get(first) ?? [];
  const implied = candidates.filter((other) =>
    other === group || isSubset(group.reports, other.reports)
  );
  const keys = new Set(implied.flatMap((other) => [...other.keys]));
  const byLife = new Map<ServerIncarnation, ServerCrash>();
  for (const { crash } of reports) {
    const same = byLife.get(crash.life);
    const merged = same === undefined ? crash : mergeCrashes(same, crash);
    byLife.set(crash.life, merged);
  }
  const isParts = reports.every(({ crash }) => !keys.has(crash.request));
  const isAmbiguous = isParts &&
    reports.some(({ parts, isTruncated }) =>
      isTruncated || parts.size > keys.size
    );
  return {
    id: [...keys].sort().join(" "),
    keys,
    crashes: [...byLife.values()],
    isParts,
    isAmbiguous,
  };
}

/** Whether a set holds all members of another one. */
export function isSubset<T>(
  members: ReadonlySet<T>,
  of: ReadonlySet<T>,
): boolean {
  if (members.size > of.size) return false;
  for (const member of members) if (!of.has(member)) return false;
  return true;
}

/** Names the keys of a hypothesis for logs, the first ones if there are many. */
export function describeKeys({ keys }: Hypothesis): string {
  const named = [...keys].sort().slice(0, MAX_KEYS_NAMED).join(" ");
  const more = keys.size - MAX_KEYS_NAMED;
  return more > 0 ? `${named} and ${more} more` : named;
}
