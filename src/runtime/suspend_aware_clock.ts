/** A monotonic clock that also counts the time for which the VM was suspended. */

import type { Clock } from "./clock.ts";

/**
 * Smaller gains of the wall clock over the monotonic clock are drift. They accumulate and count as
 * a jump only once their sum reaches this value.
 */
const MIN_JUMP_MS = 200;

/**
 * Measures the age of data that must not be used when it is too old. The monotonic clock does not
 * count the time for which a VM is suspended, so data confirmed before a suspension would look
 * too fresh afterwards. The wall clock counts that time but may also be set. Therefore a forward
 * jump of the wall clock counts as elapsed time. If the clock was only set, ages are too long until
 * the next update, which costs a confirmation but never makes stale data look fresh. A backward
 * jump changes nothing. Node.js offers no clock that distinguishes the two with subsecond
 * resolution.
 */
export class SuspendAwareClock {
  readonly #clock: Clock;
  /** Wall clock minus monotonic clock at the reference reading. */
  #referenceOffsetMs: number;
  #suspendedMs = 0;

  constructor({ clock }: { clock: Clock }) {
    this.#clock = clock;
    this.#referenceOffsetMs = clock.wallMs() - clock.monotonicMs();
  }

  /** Milliseconds since an arbitrary origin; never decreases or runs slower than real time. */
  nowMs(): number {
    const monotonicMs = this.#clock.monotonicMs();
    const offsetMs = this.#clock.wallMs() - monotonicMs;
    const jumpMs = offsetMs - this.#referenceOffsetMs;
    if (jumpMs >= MIN_JUMP_MS) this.#suspendedMs += jumpMs;
    if (jumpMs >= MIN_JUMP_MS || jumpMs < 0) this.#referenceOffsetMs = offsetMs;
    return monotonicMs + this.#suspendedMs;
  }
}
