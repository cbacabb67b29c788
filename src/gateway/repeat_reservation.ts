/** The part of the shared budget of repeats that one request uses. */

import type { ServiceId } from "../core/ids.ts";
import type { RepeatBudget } from "../core/limits/repeat_budget.ts";
import type { Clock } from "../runtime/clock.ts";

interface Deps {
  readonly repeatBudget: RepeatBudget;
  readonly clock: Clock;
}

/** Asks the budget for one request, and keeps what was reserved. */
export class RepeatReservation {
  readonly #deps: Deps;
  readonly #service: ServiceId;
  #reserved = false;

  constructor(deps: Deps, service: ServiceId) {
    this.#deps = deps;
    this.#service = service;
  }

  /** Counts the request, by which the budget grows. */
  countRequest(): void {
    const { repeatBudget, clock } = this.#deps;
    repeatBudget.countRequest(this.#service, clock.monotonicMs());
  }

  /** Repeats that the service may still have. */
  left(): number {
    const { repeatBudget, clock } = this.#deps;
    return repeatBudget.left(this.#service, clock.monotonicMs());
  }

  /**
   * Reserves a repeat before what runs is given up for it; returns whether it could. Many
   * streams of one server pause together, and all but the first would otherwise find the
   * budget spent when their run is gone already.
   */
  reserve(): boolean {
    this.#reserved ||= this.#spend();
    return this.#reserved;
  }

  /** Takes a repeat, the reserved one if there is one; returns whether it could. */
  take(): boolean {
    if (!this.#reserved) return this.#spend();
    this.#reserved = false;
    return true;
  }

  /** Keeps a repeat that was taken for the next try, as nothing was sent. */
  giveBack(): void {
    this.#reserved = true;
  }

  #spend(): boolean {
    const { repeatBudget, clock } = this.#deps;
    return repeatBudget.spend(this.#service, clock.monotonicMs());
  }
}
