/** Clocks behind an interface, so that tests can control the time. */

import { performance } from "node:perf_hooks";

/** Wall clock and monotonic clock, in milliseconds. */
export interface Clock {
  /** Time since the Unix epoch; may jump. */
  wallMs(): number;
  /** Time since an arbitrary origin; never decreases. */
  monotonicMs(): number;
}

/** The clocks of the operating system. */
export class SystemClock implements Clock {
  wallMs(): number {
    return Date.now();
  }

  monotonicMs(): number {
    return performance.now();
  }
}
