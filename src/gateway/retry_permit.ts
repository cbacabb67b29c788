/** Permits of one request for retries, out of the retry budget of its service. */

import type { ServiceId } from "../core/ids.ts";
import type { SentRetry } from "../core/limits/pending_retries.ts";
import type {
  RetryBudget,
  RetryBudgetState,
} from "../core/limits/retry_budget.ts";
import type { Clock } from "../runtime/clock.ts";

interface Deps {
  readonly retryBudget: RetryBudget;
  readonly clock: Clock;
}

/** Interval at which a request waits for a permit, in milliseconds. */
const ACK_WAIT_MS = 25;
/** Longest time that a request waits for a permit: several round trips of a probe, in milliseconds. */
const MAX_ACK_WAIT_MS = 300;

/** Acquires and consumes retry permits for one request; holds at most one at a time. */
export class RetryPermit {
  readonly #deps: Deps;
  readonly #service: ServiceId;
  readonly #sent: SentRetry[] = [];
  #acked = 0;
  #settled = 0;
  #isHeld = false;
  #isCounted: boolean;
  #ackWaitMs = 0;

  /** `isCounted` is set if another VM has counted the request already. */
  constructor(
    deps: Deps,
    service: ServiceId,
    { isCounted = false }: { isCounted?: boolean } = {},
  ) {
    this.#deps = deps;
    this.#service = service;
    this.#isCounted = isCounted;
  }

  /** Whether the request counts towards the retries that the budget of some VM allows. */
  get isCounted(): boolean {
    return this.#isCounted;
  }

  /** Counts the request towards the retries that the budget allows; later calls have no effect. */
  countRequest(): void {
    if (this.#isCounted) return;
    this.#isCounted = true;
    const { retryBudget, clock } = this.#deps;
    retryBudget.countRequest(this.#service, clock.monotonicMs());
  }

  /** Whether a permit is held or can be acquired. */
  get isAvailable(): boolean {
    return this.#isHeld || this.budgetState().available >= 1;
  }

  /** Whether a permit is left beyond those reserved for requests that would lose their response. */
  get hasSpare(): boolean {
    return this.budgetState().unreserved >= 1;
  }

  /** Current state of the retry budget of the service. */
  budgetState(): RetryBudgetState {
    const { retryBudget, clock } = this.#deps;
    return retryBudget.state(this.#service, clock.monotonicMs());
  }

  /**
   * Acquires a permit unless one is already held; returns whether one is held now. An attempt in
   * progress is aborted only while its retry holds a permit: many streams of one server stall at
   * the same time, and all but the first would find the budget exhausted when they retry.
   */
  acquire(): boolean {
    const { retryBudget, clock } = this.#deps;
    this.#isHeld ||= retryBudget.acquire(this.#service, clock.monotonicMs());
    return this.#isHeld;
  }

  /**
   * Milliseconds to wait before a permit is acquired again; undefined if none becomes available
   * soon. While servers respond, they acknowledge retries within a few milliseconds.
   */
  nextAckWaitMs(): number | undefined {
    if (!this.budgetState().isAwaitingAck) return undefined;
    if (this.#ackWaitMs >= MAX_ACK_WAIT_MS) return undefined;
    this.#ackWaitMs += ACK_WAIT_MS;
    return ACK_WAIT_MS;
  }

  /** Consumes the held permit as the first byte is written; returns whether it may be sent. */
  consume(): boolean {
    if (!this.#isHeld) return false;
    const { retryBudget, clock } = this.#deps;
    this.#isHeld = false;
    const retry = retryBudget.send(this.#service, clock.monotonicMs());
    if (retry !== undefined) this.#sent.push(retry);
    return retry !== undefined;
  }

  /** Records that one more attempt of the request is acknowledged. */
  attemptAcked(): void {
    this.#acked += 1;
    const retry = this.#retryOf(this.#acked);
    if (retry !== undefined) this.#deps.retryBudget.recordAck(retry);
  }

  /** Records that one more attempt of the request cannot arrive any later. */
  attemptSettled(): void {
    this.#settled += 1;
    const retry = this.#retryOf(this.#settled);
    if (retry === undefined) return;
    const { retryBudget, clock } = this.#deps;
    retryBudget.recordSettled(retry, clock.monotonicMs());
  }

  /**
   * Returns the retry that the n-th arrival counts as. Servers count each arrival after the first
   * as a retry, in whatever order attempts were sent.
   */
  #retryOf(arrivals: number): SentRetry | undefined {
    return this.#sent[arrivals - 2];
  }

  /** Returns the permit to the budget, if one is held. */
  release(): void {
    if (this.#isHeld) this.#deps.retryBudget.release(this.#service);
    this.#isHeld = false;
  }
}
