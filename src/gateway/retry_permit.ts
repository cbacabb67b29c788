/** Leave for one request to be sent again, out of the service's retry budget. */

import type { ServiceId } from "../core/ids.ts";
import type {
  RetryBudget,
  RetryBudgetState,
  SentRetry,
} from "../core/limits/retry_budget.ts";
import type { Clock } from "../runtime/clock.ts";

interface Deps {
  readonly retryBudget: RetryBudget;
  readonly clock: Clock;
}

/** Acquires permits for one request, one at a time. */
export class RetryPermit {
  readonly #deps: Deps;
  readonly #service: ServiceId;
  readonly #sent: SentRetry[] = [];
  #arrived = 0;
  #isHeld = false;

  constructor(deps: Deps, service: ServiceId) {
    this.#deps = deps;
    this.#service = service;
  }

  /** Counts the request, by which the budget grows. */
  countRequest(): void {
    const { retryBudget, clock } = this.#deps;
    retryBudget.countRequest(this.#service, clock.monotonicMs());
  }

  /** Whether a permit is held or can be acquired. */
  get isAvailable(): boolean {
    return this.#isHeld || this.state().available >= 1;
  }

  /** Whether a permit is there that no request needs whose answer would be lost without it. */
  get isSpare(): boolean {
    return this.state().unreserved >= 1;
  }

  /** What the budget of the service stands at. */
  state(): RetryBudgetState {
    const { retryBudget, clock } = this.#deps;
    return retryBudget.state(this.#service, clock.monotonicMs());
  }

  /**
   * Holds a permit, the same one if one is held; returns whether it could. An attempt under way
   * is given up only for a permit that is held: many streams of one server pause together, and all
   * but the first would find the budget spent.
   */
  acquire(): boolean {
    const { retryBudget, clock } = this.#deps;
    this.#isHeld ||= retryBudget.acquire(this.#service, clock.monotonicMs());
    return this.#isHeld;
  }

  /** Uses up the permit as the first byte is written; returns whether the budget still bears it. */
  send(): boolean {
    if (!this.#isHeld) return false;
    const { retryBudget, clock } = this.#deps;
    this.#isHeld = false;
    const retry = retryBudget.send(this.#service, clock.monotonicMs());
    if (retry !== undefined) this.#sent.push(retry);
    return retry !== undefined;
  }

  /** Notes that one more attempt of the request has arrived, or can't arrive any more. */
  attemptArrived(): void {
    this.#arrived += 1;
    // Servers count all but the first to arrive, whichever attempt that is.
    if (this.#arrived === 1) return;
    const retry = this.#sent.shift();
    if (retry === undefined) return;
    const { retryBudget, clock } = this.#deps;
    retryBudget.recordArrival(retry, clock.monotonicMs());
  }

  /** Gives back a permit that is held. */
  release(): void {
    if (this.#isHeld) this.#deps.retryBudget.release(this.#service);
    this.#isHeld = false;
  }
}
