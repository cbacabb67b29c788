/** Runs a task again and again, never twice at once. */

import { performance } from "node:perf_hooks";

/** A task and the time between its starts, in milliseconds. */
export interface RepeatedTaskOptions {
  readonly intervalMs: number;
  readonly run: () => Promise<void>;
}

/** Runs at once when started, then at each interval after the last run has ended. */
export class RepeatedTask {
  readonly #options: RepeatedTaskOptions;
  #timer: NodeJS.Timeout | undefined;
  #stopped = true;
  #starts = 0;

  constructor(options: RepeatedTaskOptions) {
    this.#options = options;
  }

  /** Starts; does nothing when it runs already. */
  start(): void {
    if (!this.#stopped) return;
    this.#stopped = false;
    this.#starts += 1;
    void this.#loop(this.#starts);
  }

  /** Stops; a run that has begun goes on to its end. */
  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
  }

  async #loop(start: number): Promise<void> {
    const startedMs = performance.now();
    await this.#options.run();
    // A loop that was stopped and started again during a run has a successor.
    if (this.#stopped || start !== this.#starts) return;
    const tookMs = performance.now() - startedMs;
    const waitMs = Math.max(0, this.#options.intervalMs - tookMs);
    this.#timer = setTimeout(() => void this.#loop(start), waitMs);
  }
}
