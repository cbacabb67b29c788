/** Random numbers that a seed reproduces. */

import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Number of distinct values that `fraction` returns. */
const FRACTION_STEPS = 1_000_000;

/** A reproducible sequence of random numbers. */
export class SeededRandom {
  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Returns an integer from `min` to `max`, both inclusive. */
  integer(min: number, max: number): number {
    return uniformInt(this.#generator, min, max);
  }

  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  fraction(): number {
    return this.integer(0, FRACTION_STEPS - 1) / FRACTION_STEPS;
  }

  /** Returns one of the items, each with the same probability. */
  pick<T>(items: readonly T[]): T {
    const item = items[this.integer(0, items.length - 1)];
    if (item === undefined) throw new Error("Cannot pick from an empty list");
    return item;
  }
}
