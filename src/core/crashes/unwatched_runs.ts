/** Runs whose connections this VM closed, so that it does not see whether their servers crash. */

import type { ServerIncarnation } from "../ids.ts";
import { CRASH_WINDOW_MS } from "./crash.ts";

/** Maximum number of tracked runs; bounds memory if callers leave in large numbers. */
const MAX_RUNS = 500;

interface UnwatchedRun<Run> {
  readonly life: ServerIncarnation;
  readonly beganMs: number;
  readonly run: Run;
}

/** Remembers such runs for as long as they may crash their servers. */
export class UnwatchedRuns<Run> {
  #runs: UnwatchedRun<Run>[] = [];

  /** Records a run that had begun when its connection was closed. */
  add(run: UnwatchedRun<Run>, nowMs: number): void {
    this.#runs = [...this.#runs, run]
      .filter(({ beganMs }) => nowMs - beganMs <= CRASH_WINDOW_MS)
      .slice(-MAX_RUNS);
  }

  /** Removes and returns the runs that had just begun on a server as it crashed. */
  takeEnded(life: ServerIncarnation, endedMs: number): Run[] {
    const ended = this.#runs.filter((one) => one.life === life);
    if (ended.length === 0) return [];
    this.#runs = this.#runs.filter((one) => one.life !== life);
    return ended
      .filter(({ beganMs }) =>
        beganMs <= endedMs && endedMs - beganMs <= CRASH_WINDOW_MS
      )
      .map(({ run }) => run);
  }
}
