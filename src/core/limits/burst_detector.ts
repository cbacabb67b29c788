/**
 * Tells requests that come at a usual rate from those that a link held back and delivers in a burst. The
 * latter were sent earlier than they are read, and nothing on them says when.
 */

import { WindowCount } from "./sliding_window_counter.ts";

/** Time over which a surge is measured, in milliseconds. */
const SLICE_MS = 500;
/** Times the usual number of a slice up to which requests are taken for those of now. */
const USUAL_FACTOR = 3;
/** Requests of a slice that are taken so in any case: they come by chance. */
const LEAST = 8;

/** Judges the requests of one service at one VM. */
export class SurgeLimit {
  readonly #windowMs: number;
  readonly #startedMs: number;
  readonly #read: WindowCount;
  #sliceMs = -Infinity;
  #left = 0;

  constructor(
    { windowMs, startedMs }: { windowMs: number; startedMs: number },
  ) {
    this.#windowMs = windowMs;
    this.#startedMs = startedMs;
    this.#read = new WindowCount(windowMs);
  }

  /** Notes that a request was read; returns whether it is taken for one that was sent just now. */
  take(nowMs: number): boolean {
    if (nowMs - this.#sliceMs >= SLICE_MS) {
      this.#sliceMs = nowMs;
      this.#left = Math.max(LEAST, USUAL_FACTOR * this.#usual(nowMs));
    }
    this.#read.add(nowMs);
    this.#left -= 1;
    return this.#left >= 0;
  }

  /** Requests of a slice, by those of the last window. */
  #usual(nowMs: number): number {
    const agedMs = Math.max(SLICE_MS, nowMs - this.#startedMs);
    return this.#read.total(nowMs) * SLICE_MS /
      Math.min(this.#windowMs, agedMs);
  }
}
