/** One deadline for a request, passed down every call that it leads to. */

import { performance } from "node:perf_hooks";

/** Why a deadline's signal was raised. */
export type DeadlineEnd = "expired" | "cancelled";

/** Time limit and cancellation in one. Call `close` when the work has ended. */
export class Deadline {
  readonly limitMs: number;
  readonly #controller = new AbortController();
  readonly #expiresAtMs: number;
  readonly #timer: NodeJS.Timeout;
  #end: DeadlineEnd | undefined;

  constructor(limitMs: number) {
    this.limitMs = limitMs;
    this.#expiresAtMs = performance.now() + limitMs;
    this.#timer = setTimeout(() => this.#raise("expired"), limitMs);
  }

  /** Raised when the deadline expires or is cancelled. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** How it ended; undefined while there is time. */
  get end(): DeadlineEnd | undefined {
    return this.#end;
  }

  /** Milliseconds left; 0 once expired. */
  remainingMs(): number {
    return Math.max(0, this.#expiresAtMs - performance.now());
  }

  /** Gives the work up, as when the caller has gone. */
  cancel(): void {
    this.#raise("cancelled");
  }

  /** Stops the timer; the signal is not raised any more. */
  close(): void {
    clearTimeout(this.#timer);
  }

  #raise(end: DeadlineEnd): void {
    if (this.#end !== undefined) return;
    this.#end = end;
    clearTimeout(this.#timer);
    this.#controller.abort();
  }
}
