/** Counts events of the last while in slices of time. */

/** Slices of a window; more of them forget events less early. */
const SLICES = 20;

interface Slice {
  readonly startMs: number;
  count: number;
}

/** Count over a sliding window. It may forget an event up to one slice early, and never late. */
export class WindowCount {
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
    const sliceMs = this.#windowMs / SLICES;
    if (newest !== undefined && nowMs - newest.startMs < sliceMs) {
      newest.count += 1;
    } else {
      this.#slices.push({ startMs: nowMs, count: 1 });
    }
  }

  /** Events in the window that ends now. */
  total(nowMs: number): number {
    const fromMs = nowMs - this.#windowMs;
    while ((this.#slices[0]?.startMs ?? Infinity) < fromMs) {
      this.#total -= this.#slices.shift()?.count ?? 0;
    }
    return this.#total;
  }
}
