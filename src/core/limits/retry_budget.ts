/**
 * Bounds the retries that all VMs together send to a service, without coordination between VMs:
 * each VM earns a fraction of a retry for each request of its own callers, up to a cap.
 */

import type { ServiceId } from "../ids.ts";
import { BurstDetector } from "./burst_detector.ts";
import {
  type Charge,
  PendingRetries,
  type SentRetry,
} from "./pending_retries.ts";
import {
  type RetryWindowCounts,
  RetryWindowStats,
} from "./retry_window_stats.ts";
import { SlidingWindowCounter } from "./sliding_window_counter.ts";

/** Bounds on the retries of the whole fleet in any window. */
export interface RetryBounds {
  /** Retries allowed per request for the service. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Retries that the whole fleet may send in addition. */
  readonly allowance: number;
}

/** Snapshot of the budget of one service. */
export interface RetryBudgetState {
  /** Permits that can be acquired now. */
  readonly available: number;
  /** Available permits that are not reserved for requests whose answer would otherwise be lost. */
  readonly unreserved: number;
  /** Whether a permit becomes available once a server acknowledges a retry. */
  readonly isAwaitingAck: boolean;
  /** Whether earned retries cannot be sent because others are unacknowledged. */
  readonly isAckScarce: boolean;
  /** Retries earned by requests and not sent yet; negative while too many are unacknowledged. */
  readonly earned: number;
  /** Earned retries that can be sent now within the limit on unacknowledged ones. */
  readonly sendable: number;
  /** Earned retries that were sent and are not acknowledged. */
  readonly unacked: number;
  /** Earned retries that are acknowledged and may still arrive, if their connections are held back. */
  readonly unsettled: number;
  /** Age of the oldest retry that is not acknowledged, in milliseconds; 0 if there is none. */
  readonly oldestUnackedMs: number;
  /** What remains of this VM's share of the fleet's allowance. */
  readonly allowance: number;
  /** Permits acquired and not used yet. */
  readonly held: number;
  /** Requests received by this VM in the window. */
  readonly requests: number;
  /** VMs that share the allowance; undefined if unknown. */
  readonly vms: number | undefined;
}

/** What the budget of one service was charged and paid since the previous report. */
export interface RetryWindowReport {
  readonly service: ServiceId;
  readonly counts: RetryWindowCounts;
  readonly state: RetryBudgetState;
}

/** What a budget needs besides its bounds. */
export interface RetryBudgetOptions {
  /** When the process started, by the monotonic clock. */
  readonly startedMs: number;
  /** Returns how many VMs there may be; undefined if unknown. */
  readonly vms: () => number | undefined;
}

/** Fraction of the ratio that each request earns. */
const EARNED_RATIO_SHARE = 0.58;
/**
 * Fraction of the ratio that may be saved per request of the last window. When callers move to
 * other VMs, retries saved here and retries earned there can be sent in one window, so this and
 * `EARNED_RATIO_SHARE` together stay below 1.
 */
const SAVED_RATIO_SHARE = 0.4;
/**
 * Fraction of the allowance that covers earned retries while they are unacknowledged. They may arrive after
 * traffic has ended, when no request pays for them, so they have to fit into the allowance together
 * with the retries charged to it.
 */
const UNACKED_ALLOWANCE_SHARE = 0.5;
/** Unacknowledged retries that each VM may have whatever its part of the allowance. */
const MIN_UNACKED = 1;
/** Fraction of the maximum balance reserved for requests whose answer would otherwise be lost. */
const RESERVED_SHARE = 0.25;
/**
 * Fraction of the allowance that is split among the known VMs. VMs that start during a network
 * partition know only their own side; the shares of two sides together stay within the allowance.
 */
const ALLOWANCE_SHARE = 0.45;

/** Time between heartbeats from which the process counts as having been suspended or starved. */
const SUSPENSION_GAP_MS = 400;
/** Time in which a resumed process reads the requests that arrived while it was suspended. */
const BACKLOG_DRAIN_MS = 500;

interface ServiceBudget {
  /** Requests that earned a fraction of a retry. */
  readonly requests: SlidingWindowCounter;
  readonly burstDetector: BurstDetector;
  readonly stats: RetryWindowStats;
  earned: number;
  /** Retries that are not acknowledged. */
  readonly unacked: PendingRetries;
  /** Retries that are acknowledged, by responses on other connections, and may still arrive. */
  readonly unsettled: PendingRetries;
  /** When the last retry was settled. */
  lastSettledMs: number;
  /** Permits acquired and not used yet. */
  held: number;
  /** Charges to the allowance that count in the window. */
  charges: Charge[];
}

/** The retry budgets of one VM, one per service. */
export class RetryBudget {
  readonly #bounds: RetryBounds;
  readonly #options: RetryBudgetOptions;
  readonly #budgets = new Map<ServiceId, ServiceBudget>();
  #lastHeartbeatMs: number;
  #backlogUntilMs = -Infinity;

  constructor(bounds: RetryBounds, options: RetryBudgetOptions) {
    this.#bounds = bounds;
    this.#options = options;
    this.#lastHeartbeatMs = options.startedMs;
  }

  /** Must be called several times per `SUSPENSION_GAP_MS`; a longer gap reveals a suspension. */
  heartbeat(nowMs: number): void {
    if (nowMs - this.#lastHeartbeatMs >= SUSPENSION_GAP_MS) {
      this.#backlogUntilMs = nowMs + BACKLOG_DRAIN_MS;
    }
    this.#lastHeartbeatMs = nowMs;
  }

  /** Counts a caller's request, which earns a fraction of a retry. */
  countRequest(service: ServiceId, nowMs: number): void {
    const budget = this.#budgetOf(service);
    const isRecent = budget.burstDetector.recordRequest(nowMs) &&
      !this.#isDrainingBacklog(nowMs);
    budget.stats.recordRequest({ isLate: !isRecent });
    // A request that was sent in an earlier window must not earn retries for this one.
    if (!isRecent) return;
    budget.requests.add(nowMs);
    budget.earned += EARNED_RATIO_SHARE * this.#bounds.ratio;
    this.#capEarned(budget, nowMs);
  }

  /** Acquires a permit for one retry; returns whether one was available. */
  acquire(service: ServiceId, nowMs: number): boolean {
    if (this.state(service, nowMs).available < 1) return false;
    this.#budgetOf(service).held += 1;
    return true;
  }

  /**
   * Uses an acquired permit, as the first byte of the retry is written. Returns undefined if the
   * budget no longer covers the retry, as it may have shrunk since the permit was acquired.
   */
  send(service: ServiceId, nowMs: number): SentRetry | undefined {
    this.release(service);
    const { sendable, allowance } = this.state(service, nowMs);
    if (sendable + allowance < 1) return undefined;
    const budget = this.#budgetOf(service);
    const paid = Math.min(1, sendable);
    budget.earned -= paid;
    const charge = paid === 1
      ? undefined
      : { amount: 1 - paid, untilMs: Infinity };
    if (charge !== undefined) budget.charges.push(charge);
    const retry = { service, sentMs: nowMs, earned: paid, charge };
    budget.unacked.add(retry);
    budget.stats.recordSent(1 - paid);
    return retry;
  }

  /** Records that a retry is acknowledged; it may still arrive if its connection is held back. */
  recordAck(retry: SentRetry): void {
    const { unacked, unsettled } = this.#budgetOf(retry.service);
    if (unacked.delete(retry)) unsettled.add(retry);
  }

  /** Records that a retry has arrived at its server, or cannot arrive any more. */
  recordSettled(retry: SentRetry, nowMs: number): void {
    const budget = this.#budgetOf(retry.service);
    this.#capEarned(budget, nowMs);
    budget.unacked.delete(retry);
    budget.unsettled.delete(retry);
    budget.lastSettledMs = nowMs;
    budget.stats.recordArrival(nowMs - retry.sentMs);
    const { charge } = retry;
    if (charge !== undefined) charge.untilMs = nowMs + this.#bounds.windowMs;
  }

  /** Releases an acquired permit that was not used. */
  release(service: ServiceId): void {
    this.#budgetOf(service).held -= 1;
  }

  /** Returns a snapshot of the budget of a service. */
  state(service: ServiceId, nowMs: number): RetryBudgetState {
    const budget = this.#budgetOf(service);
    this.#capEarned(budget, nowMs);
    const { earned } = budget;
    const maxSaved = this.#maxSaved(budget, nowMs);
    const allowanceShare = this.#allowanceShare(nowMs);
    const charged = this.#chargedAllowance(budget, nowMs);
    const allowance = Math.max(0, allowanceShare - charged);
    const sendable = this.#sendable(budget, nowMs);
    const available = sendable + allowance - budget.held;
    const reserve = RESERVED_SHARE * (maxSaved + allowanceShare);
    const isAwaitingAck = available < 1 &&
      earned + allowance - budget.held >= 1;
    return {
      available,
      unreserved: Math.min(
        available,
        earned + allowance - budget.held - reserve,
      ),
      isAwaitingAck,
      isAckScarce: earned >= 1 && sendable < 1,
      earned,
      sendable,
      unacked: budget.unacked.earned,
      unsettled: budget.unsettled.earned,
      oldestUnackedMs: budget.unacked.oldestMs(nowMs),
      allowance,
      held: budget.held,
      requests: budget.requests.total(nowMs),
      vms: this.#options.vms(),
    };
  }

  /** Returns what each service was charged and paid since the previous call. */
  takeReports(nowMs: number): RetryWindowReport[] {
    return [...this.#budgets].map(([service, { stats }]) => ({
      service,
      counts: stats.take(),
      state: this.state(service, nowMs),
    }));
  }

  #isDrainingBacklog(nowMs: number): boolean {
    return nowMs - this.#lastHeartbeatMs >= SUSPENSION_GAP_MS ||
      nowMs < this.#backlogUntilMs;
  }

  /**
   * Retries count when they arrive, which may be long after they were sent. Saved and unsettled
   * retries may arrive together, so both share one cap. When the request rate drops and unsettled
   * retries exceed the cap, the balance goes negative and later requests repay it.
   */
  #capEarned(budget: ServiceBudget, nowMs: number): void {
    const { unacked, unsettled, lastSettledMs } = budget;
    const isIdle = unacked.size + unsettled.size === 0 &&
      nowMs - lastSettledMs > this.#bounds.windowMs;
    if (isIdle) budget.earned = Math.max(0, budget.earned);
    const cap = this.#maxSaved(budget, nowMs) - unacked.earned -
      unsettled.earned;
    budget.earned = Math.min(budget.earned, cap);
  }

  #sendable(budget: ServiceBudget, nowMs: number): number {
    const room = this.#maxUnacked(nowMs) - budget.unacked.earned;
    return Math.max(0, Math.min(budget.earned, room));
  }

  #maxSaved({ requests }: ServiceBudget, nowMs: number): number {
    return SAVED_RATIO_SHARE * this.#bounds.ratio * requests.total(nowMs);
  }

  /** Maximum number of earned retries of this VM that may be unacknowledged. */
  #maxUnacked(nowMs: number): number {
    const vms = this.#options.vms();
    // The unacknowledged retries of the previous process on this VM are unknown and still count.
    if (vms === undefined || this.#isFirstWindow(nowMs)) return MIN_UNACKED;
    const share = UNACKED_ALLOWANCE_SHARE * this.#bounds.allowance / vms;
    return Math.max(MIN_UNACKED, share);
  }

  #isFirstWindow(nowMs: number): boolean {
    return nowMs - this.#options.startedMs <= this.#bounds.windowMs;
  }

  /** This VM's share of the fleet's allowance for one window. */
  #allowanceShare(nowMs: number): number {
    const vms = this.#options.vms();
    // A VM that reaches no other VM does not know how many share the allowance.
    if (vms === undefined) return 0;
    // Retries sent by the previous process on this VM are unknown and may still count.
    if (this.#isFirstWindow(nowMs)) return 0;
    return ALLOWANCE_SHARE * this.#bounds.allowance / vms;
  }

  /** Returns the part of that share used in the window that ends now. */
  #chargedAllowance(budget: ServiceBudget, nowMs: number): number {
    budget.charges = budget.charges.filter(({ untilMs }) => nowMs <= untilMs);
    return budget.charges.reduce((sum, { amount }) => sum + amount, 0);
  }

  #budgetOf(service: ServiceId): ServiceBudget {
    const known = this.#budgets.get(service);
    if (known !== undefined) return known;
    const budget = {
      requests: new SlidingWindowCounter(this.#bounds.windowMs),
      burstDetector: new BurstDetector({
        windowMs: this.#bounds.windowMs,
        startedMs: this.#options.startedMs,
      }),
      stats: new RetryWindowStats(),
      earned: 0,
      unacked: new PendingRetries(),
      unsettled: new PendingRetries(),
      lastSettledMs: -Infinity,
      held: 0,
      charges: [],
    };
    this.#budgets.set(service, budget);
    return budget;
  }
}
