/** Deadline of a request, passed to all calls that are made on its behalf. */

import { performance } from "node:perf_hooks";

/** Why the signal of a deadline was aborted. */
export type DeadlineEnd = "expired" | "cancelled";

/** Combines a time limit with cancellation. Call `close` when the work has finished. */
export class Deadline {
  readonly limitMs: number;
  readonly #controller = new AbortController();
  readonly #expiresAtMs: number;
  readonly #timer: NodeJS.Timeout;
  #end: DeadlineEnd | undefined;

  constructor(limitMs: number) {
    this.limitMs = limitMs;
    this.#expiresAtMs = performance.now() + limitMs;
    this.#timer = setTimeout(() => this.#abort("expired"), limitMs);
  }

  /** Aborted when the deadline expires or is cancelled. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Why the signal was aborted; undefined until then. */
  get end(): DeadlineEnd | undefined {
    return this.#end;
  }

  /** Time until the deadline, in milliseconds; 0 once expired. */
  remainingMs(): number {
    return Math.max(0, this.#expiresAtMs - performance.now());
  }

  /** Cancels the work, for example when the caller has disconnected. */
  cancel(): void {
    this.#abort("cancelled");
  }

  /** Stops the timer, so that the deadline no longer expires. */
  close(): void {
    clearTimeout(this.#timer);
  }

  #abort(end: DeadlineEnd): void {
    if (this.#end !== undefined) return;
    this.#end = end;
    clearTimeout(this.#timer);
    this.#controller.abort();
  }
}
