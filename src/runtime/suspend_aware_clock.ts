/** A clock for ages that a promise rests on, also where the VM is suspended meanwhile. */

import type { Clock } from "./clock.ts";

/**
 * The time of day running ahead of the steady clock by less than this between two readings is
 * drift, and is left to add up.
 */
const JUMP_MS = 200;

/**
 * The steady clock does not count the time for which a VM is suspended; what was confirmed before
 * looks as fresh afterwards as if that time had not passed. The time of day counts it, but may also
 * be set. So a jump ahead of the time of day counts as time that has passed: where it was only
 * set, ages are too long until the next news, which costs a confirmation and never trusts too
 * much. A jump back changes nothing. Node.js reads no clock that would tell the two apart in
 * parts of a second.
 */
export class SuspendAwareClock {
  readonly #clock: Clock;
  /** Time of day less the steady clock, when last read. */
  #aheadMs: number;
  #lostMs = 0;

  constructor({ clock }: { clock: Clock }) {
    this.#clock = clock;
    this.#aheadMs = clock.wallMs() - clock.monotonicMs();
  }

  /** Milliseconds since some start; never goes back, and never slower than true time. */
  nowMs(): number {
    const steadyMs = this.#clock.monotonicMs();
    const aheadMs = this.#clock.wallMs() - steadyMs;
    const jumpMs = aheadMs - this.#aheadMs;
    if (jumpMs >= JUMP_MS) this.#lostMs += jumpMs;
    if (jumpMs >= JUMP_MS || jumpMs < 0) this.#aheadMs = aheadMs;
    return steadyMs + this.#lostMs;
  }
}
