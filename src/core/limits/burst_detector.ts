/**
 * Distinguishes requests that arrive at the usual rate from those that a link delayed and delivers
 * in a burst. The latter were sent earlier than they are read, and carry no send time.
 */

import { SlidingWindowCounter } from "./sliding_window_counter.ts";

/** Interval over which a burst is measured, in milliseconds. */
const INTERVAL_MS = 500;
/** Multiple of the usual number of requests per interval up to which requests count as just sent. */
const USUAL_FACTOR = 3;
/** Requests per interval that count as just sent in any case, as their number varies by chance. */
const MIN_REQUESTS = 8;

/** Detects bursts among the requests for one service at one VM. */
export class BurstDetector {
  readonly #windowMs: number;
  readonly #startedMs: number;
  readonly #requests: SlidingWindowCounter;
  #intervalStartMs = -Infinity;
  #remaining = 0;

  constructor(
    { windowMs, startedMs }: { windowMs: number; startedMs: number },
  ) {
    this.#windowMs = windowMs;
    this.#startedMs = startedMs;
    this.#requests = new SlidingWindowCounter(windowMs);
  }

  /** Records a request; returns whether it counts as just sent rather than as part of a burst. */
  recordRequest(nowMs: number): boolean {
    if (nowMs - this.#intervalStartMs >= INTERVAL_MS) {
      this.#intervalStartMs = nowMs;
      this.#remaining = Math.max(
        MIN_REQUESTS,
        USUAL_FACTOR * this.#usual(nowMs),
      );
    }
    this.#requests.add(nowMs);
    this.#remaining -= 1;
    return this.#remaining >= 0;
  }

  /** Average number of requests per interval over the last window. */
  #usual(nowMs: number): number {
    const uptimeMs = Math.max(INTERVAL_MS, nowMs - this.#startedMs);
    return this.#requests.total(nowMs) * INTERVAL_MS /
      Math.min(this.#windowMs, uptimeMs);
  }
}
