/** Groups crash reports by what their requests have in common. */

import type { PartKey, ServerIncarnation } from "../ids.ts";
import { type Crash, mergeReports, type SuspectKey } from "./crash.ts";

/** A possible cause of crashes: requests that hold all its keys. */
export interface Hypothesis {
  /** Identifies the hypothesis by its keys. */
  readonly id: string;
  readonly keys: ReadonlySet<SuspectKey>;
  readonly crashes: readonly Crash[];
  /** Whether these are prompt parts, and not one request. */
  readonly isParts: boolean;
  /** Whether some of the reports hold further parts, which may be the cause instead. */
  readonly isAmbiguous: boolean;
}

interface KeyReports {
  /** Keys that all reports with this key have in common. */
  common: ReadonlySet<SuspectKey>;
  /** Largest number of parts in one report. */
  maxParts: number;
  readonly crashes: Map<ServerIncarnation, Crash>;
}

/**
 * Returns one hypothesis for each set of keys that always come together. Keys that have not been
 * seen apart cannot be told apart, so that only a request with all of them is suspected.
 */
export function buildHypotheses(
  reports: readonly Crash[],
  isCleared: (part: PartKey, crash: Crash) => boolean,
): Hypothesis[] {
  const byKey = new Map<SuspectKey, KeyReports>();
  for (const report of reports) {
    const parts = report.parts.filter((part) => !isCleared(part, report));
    const keys = new Set<SuspectKey>([report.request, ...parts]);
    for (const key of keys) addReport(byKey, { key, keys, report });
  }
  const hypotheses = new Map<string, Hypothesis>();
  for (const { common, maxParts, crashes: byLife } of byKey.values()) {
    const id = [...common].sort().join(" ");
    const crashes = [...byLife.values()];
    const isParts = crashes.every(({ request }) => !common.has(request));
    const isAmbiguous = isParts && maxParts > common.size;
    hypotheses.set(id, { id, keys: common, crashes, isParts, isAmbiguous });
  }
  return [...hypotheses.values()];
}

function addReport(
  byKey: Map<SuspectKey, KeyReports>,
  { key, keys, report }: {
    key: SuspectKey;
    keys: ReadonlySet<SuspectKey>;
    report: Crash;
  },
): void {
  const known = byKey.get(key);
  const partCount = keys.size - 1;
  if (known === undefined) {
    const crashes = new Map([[report.life, report]]);
    byKey.set(key, { common: keys, maxParts: partCount, crashes });
    return;
  }
  known.maxParts = Math.max(known.maxParts, partCount);
  known.common = new Set([...known.common].filter((one) => keys.has(one)));
  const same = known.crashes.get(report.life);
  known.crashes.set(
    report.life,
    same === undefined ? report : mergeReports(same, report),
  );
}

/** Returns the crash reports by each part of their requests. */
export function groupByPart(
  reports: readonly Crash[],
): ReadonlyMap<PartKey, readonly Crash[]> {
  const groups = new Map<PartKey, Crash[]>();
  for (const report of reports) {
    for (const part of report.parts) {
      const group = groups.get(part);
      if (group === undefined) groups.set(part, [report]);
      else group.push(report);
    }
  }
  return groups;
}
