/** Rate limit of the platform stand-in. */

import { performance } from "node:perf_hooks";

const MS_PER_SECOND = 1_000;

/** Token bucket that refills at `perSecond` and holds at most one second's worth of tokens. */
export class TokenBucket {
  readonly #perSecond: number;
  #tokens: number;
  #refilledAtMs = performance.now();

  constructor(perSecond: number) {
    this.#perSecond = perSecond;
    this.#tokens = perSecond;
  }

  /** Consumes one token; returns false if none is left. */
  tryTake(): boolean {
    const nowMs = performance.now();
    const refill = (nowMs - this.#refilledAtMs) * this.#perSecond /
      MS_PER_SECOND;
    this.#tokens = Math.min(this.#perSecond, this.#tokens + refill);
    this.#refilledAtMs = nowMs;
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
