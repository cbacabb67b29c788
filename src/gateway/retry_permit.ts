/** The part of the shared budget of retries that one request uses. */

import type { ServiceId } from "../core/ids.ts";
import type {
  RetryBudget,
  RetryBudgetState,
} from "../core/limits/retry_budget.ts";
import type { Clock } from "../runtime/clock.ts";

interface Deps {
  readonly retryBudget: RetryBudget;
  readonly clock: Clock;
}

/** Asks the budget for one request, and keeps what was reserved. */
export class RetryPermit {
  readonly #deps: Deps;
  readonly #service: ServiceId;
  #reserved = false;

  constructor(deps: Deps, service: ServiceId) {
    this.#deps = deps;
    this.#service = service;
  }

  /** Counts the request, by which the budget grows. */
  countRequest(): void {
    const { retryBudget, clock } = this.#deps;
    retryBudget.countRequest(this.#service, clock.monotonicMs());
  }

  /** Retries that the service may still have. */
  left(): number {
    return this.state().left;
  }

  /** What the budget of the service stands at. */
  state(): RetryBudgetState {
    const { retryBudget, clock } = this.#deps;
    return retryBudget.state(this.#service, clock.monotonicMs());
  }

  /**
   * Reserves a retry before what runs is given up for it; returns whether it could. Many
   * streams of one server pause together, and all but the first would otherwise find the
   * budget spent when their run is gone already.
   */
  reserve(): boolean {
    this.#reserved ||= this.#spend();
    return this.#reserved;
  }

  /** Takes a retry, the reserved one if there is one; returns whether it could. */
  take(): boolean {
    if (!this.#reserved) return this.#spend();
    this.#reserved = false;
    return true;
  }

  /** Keeps a retry that was taken for the next try, as nothing was sent. */
  giveBack(): void {
    this.#reserved = true;
  }

  #spend(): boolean {
    const { retryBudget, clock } = this.#deps;
    return retryBudget.spend(this.#service, clock.monotonicMs());
  }
}
