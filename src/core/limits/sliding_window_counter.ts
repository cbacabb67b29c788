/** Counts events in a sliding window, which is divided into slices of time. */

/** More slices make the counter drop events less early. */
const SLICES_PER_WINDOW = 20;

interface Slice {
  readonly startMs: number;
  count: number;
}

/** Sliding window counter. It may drop an event up to one slice early, and never late. */
export class SlidingWindowCounter {
  readonly #windowMs: number;
  readonly #slices: Slice[] = [];
  #total = 0;

  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  /** Counts one event. */
  add(nowMs: number): void {
    this.#total += 1;
    const newest = this.#slices.at(-1);
    const sliceMs = this.#windowMs / SLICES_PER_WINDOW;
    if (newest !== undefined && nowMs - newest.startMs < sliceMs) {
      newest.count += 1;
    } else {
      this.#slices.push({ startMs: nowMs, count: 1 });
    }
  }

  /** Returns the number of events in the window that ends now. */
  total(nowMs: number): number {
    const fromMs = nowMs - this.#windowMs;
    while ((this.#slices[0]?.startMs ?? Infinity) < fromMs) {
      this.#total -= this.#slices.shift()?.count ?? 0;
    }
    return this.#total;
  }
}
