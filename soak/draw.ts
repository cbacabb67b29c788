/** Random numbers that a seed repeats. */

import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Steps of one draw between 0 and 1. */
const STEPS = 1_000_000;

/** A sequence of draws. */
export class Draw {
  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** A whole number from `least` to `most`, both included. */
  whole(least: number, most: number): number {
    return uniformInt(this.#generator, least, most);
  }

  /** A number from 0 up to but not including 1. */
  unit(): number {
    return this.whole(0, STEPS - 1) / STEPS;
  }

  /** One of some things, each as likely as the others. */
  one<T>(things: readonly T[]): T {
    const thing = things[this.whole(0, things.length - 1)];
    if (thing === undefined) throw new Error("Nothing to draw from");
    return thing;
  }
}
