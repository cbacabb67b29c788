/** Calls a second that the platform stand-in takes. */

import { performance } from "node:perf_hooks";

const MS_PER_SECOND = 1_000;

/** A bucket that fills by `perSecond` and holds one second's worth. */
export class RateLimit {
  readonly #perSecond: number;
  #tokens: number;
  #filledAtMs = performance.now();

  constructor(perSecond: number) {
    this.#perSecond = perSecond;
    this.#tokens = perSecond;
  }

  /** Takes one call in; returns whether there was room. */
  take(): boolean {
    const nowMs = performance.now();
    const earned = (nowMs - this.#filledAtMs) * this.#perSecond / MS_PER_SECOND;
    this.#tokens = Math.min(this.#perSecond, this.#tokens + earned);
    this.#filledAtMs = nowMs;
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
