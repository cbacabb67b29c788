/** How long culprits of crashes are quarantined, and when one request may try them again. */

import type { ServerCrash } from "./crash.ts";
import type { Hypothesis } from "./crash_hypotheses.ts";

/**
 * How long a culprit is quarantined after its last crash. Then one request may run: another crash
 * quarantines it for twice as long, a successful run clears it.
 */
export const QUARANTINE_MS = 600_000;
/** Failed trials after which the quarantine grows no longer. */
const MAX_DOUBLINGS = 3;

/** Quarantine before the first trial if the crashes may have another cause. */
const AMBIGUOUS_QUARANTINE_MS = 1_000;
/** Crashes from which on there are no such trials; bounds them over all VMs. */
const MAX_AMBIGUOUS_CRASHES = 6;

/** When a culprit may be tried again. */
export function quarantineEndMs({ crashes, isAmbiguous }: Hypothesis): number {
  if (isAmbiguous && crashes.length < MAX_AMBIGUOUS_CRASHES) {
    return lastCrashMs(crashes) + AMBIGUOUS_QUARANTINE_MS;
  }
  const timesMs = crashes.map(({ endedMs }) => endedMs).sort((a, b) => a - b);
  // Only a trial crashes a server that much later than the crash before.
  const trials =
    timesMs.filter((atMs, n) =>
      atMs - (timesMs[n - 1] ?? atMs) >= QUARANTINE_MS
    ).length;
  return lastCrashMs(crashes) +
    QUARANTINE_MS * 2 ** Math.min(trials, MAX_DOUBLINGS);
}

function lastCrashMs(crashes: readonly ServerCrash[]): number {
  return Math.max(...crashes.map(({ endedMs }) => endedMs));
}

/** The trials that this VM has started. */
export class TrialRights {
  readonly #startedMs = new Map<string, number>();

  /** Records a trial. */
  start({ id }: Hypothesis, nowMs: number): void {
    this.#startedMs.set(id, nowMs);
  }

  /** When the next trial may start here, whatever became of the last one. */
  nextMs({ id }: Hypothesis): number {
    return (this.#startedMs.get(id) ?? -Infinity) + QUARANTINE_MS;
  }
}
