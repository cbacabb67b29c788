/** Clocks, behind an interface so that tests can set the time. */

import { performance } from "node:perf_hooks";

/** Two clocks, both in milliseconds. */
export interface Clock {
  /** Time since 1970; may jump. */
  wallMs(): number;
  /** Time since some start; never goes back. */
  monotonicMs(): number;
}

/** The machine's clocks. */
export class SystemClock implements Clock {
  wallMs(): number {
    return Date.now();
  }

  monotonicMs(): number {
    return performance.now();
  }
}
