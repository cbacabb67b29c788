/** Runs a task periodically, never concurrently with itself. */

import { performance } from "node:perf_hooks";

/** A task and the interval between the starts of its runs. */
export interface RepeatedTaskOptions {
  readonly intervalMs: number;
  readonly run: () => Promise<void>;
}

/** Runs immediately when started, then at the interval, but never before the previous run ended. */
export class RepeatedTask {
  readonly #options: RepeatedTaskOptions;
  #timer: NodeJS.Timeout | undefined;
  #stopped = true;
  #loopCount = 0;

  constructor(options: RepeatedTaskOptions) {
    this.#options = options;
  }

  /** Starts the task; does nothing if it is already started. */
  start(): void {
    if (!this.#stopped) return;
    this.#stopped = false;
    this.#loopCount += 1;
    void this.#loop(this.#loopCount);
  }

  /** Stops the task; a run in progress completes. */
  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
  }

  async #loop(loop: number): Promise<void> {
    const startedMs = performance.now();
    await this.#options.run();
    // If the task was stopped and started again during the run, a newer loop has replaced this one.
    if (this.#stopped || loop !== this.#loopCount) return;
    const durationMs = performance.now() - startedMs;
    const waitMs = Math.max(0, this.#options.intervalMs - durationMs);
    this.#timer = setTimeout(() => void this.#loop(loop), waitMs);
  }
}
