/**
 * Bounds the retries that a service gets from all VMs together, without a word between VMs: each
 * VM earns a part of a retry with each request of its own callers, and saves up only so much.
 */

import type { ServiceId } from "../ids.ts";
import { WindowCount } from "./window_count.ts";

/** What the fleet is allowed over each window. */
export interface RetryBounds {
  /** Retries for each request for the service. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Retries of the whole fleet beyond that. */
  readonly allowance: number;
}

/** What a budget stands at, for the log. */
export interface RetryBudgetState {
  /** Retries that may still be acquired now. */
  readonly left: number;
  /** Those of them that are not kept for answers that would be lost. */
  readonly spare: number;
  /** Retries earned by requests and not sent yet. */
  readonly earned: number;
  /** What this VM may still send out of the fleet's allowance. */
  readonly allowance: number;
  /** Permits that were acquired and not sent yet. */
  readonly held: number;
  /** Requests of this VM in the window. */
  readonly requests: number;
  /** VMs among which the allowance is split; undefined where it is not known. */
  readonly vms: number | undefined;
}

/** What a budget is kept by, besides the bounds. */
export interface RetryBudgetOptions {
  /** When the process started. */
  readonly startedMs: number;
  /** How many VMs there may be; undefined where it is not known. */
  readonly vms: () => number | undefined;
}

/** Part of the ratio that a request earns. */
const EARNED_SHARE = 0.58;
/**
 * Part of the ratio that may be saved up for each request of the last window. Where callers move
 * to other VMs, what was saved here and what is earned there are sent in one window; so the two
 * parts together stay within the ratio.
 */
const SAVED_SHARE = 0.4;
/** Part of what may be saved up that is kept for requests whose answer would be lost without it. */
const RESERVED_SHARE = 0.25;
/**
 * Part of the allowance that is split among the VMs known. VMs that start while a cut divides the
 * fleet know their own side only; the parts of two sides together stay within the allowance.
 */
const ALLOWANCE_SHARE = 0.45;

/** Time between heartbeats from which on the process was suspended, or did not get to run. */
const SUSPENDED_MS = 400;
/** Time in which a process reads what has come while it was suspended. */
const BACKLOG_MS = 500;

/** Part of a retry that was sent out of the allowance. */
interface Charge {
  readonly atMs: number;
  readonly amount: number;
}

interface Account {
  readonly requests: WindowCount;
  earned: number;
  /** Permits that were acquired and not sent yet. */
  held: number;
  /** Charges on the allowance in the window, in the order of their times. */
  charges: Charge[];
}

/** The retry budgets of one VM, one for each service. */
export class RetryBudget {
  readonly #bounds: RetryBounds;
  readonly #options: RetryBudgetOptions;
  readonly #accounts = new Map<ServiceId, Account>();
  #heartbeatMs: number;
  #backlogUntilMs = -Infinity;

  constructor(bounds: RetryBounds, options: RetryBudgetOptions) {
    this.#bounds = bounds;
    this.#options = options;
    this.#heartbeatMs = options.startedMs;
  }

  /** Called several times within `SUSPENDED_MS` while the process runs; a gap shows a suspension. */
  heartbeat(nowMs: number): void {
    if (nowMs - this.#heartbeatMs >= SUSPENDED_MS) {
      this.#backlogUntilMs = nowMs + BACKLOG_MS;
    }
    this.#heartbeatMs = nowMs;
  }

  /** Counts a caller's request, which earns a part of a retry. */
  countRequest(service: ServiceId, nowMs: number): void {
    // It was sent some time ago, perhaps in an earlier window, where it does not pay for this one.
    if (this.#isBehind(nowMs)) return;
    const account = this.#account(service);
    account.requests.add(nowMs);
    account.earned = Math.min(
      account.earned + EARNED_SHARE * this.#bounds.ratio,
      this.#mostSaved(account, nowMs),
    );
  }

  /** Holds a permit for one retry; returns whether it could. */
  acquire(service: ServiceId, nowMs: number): boolean {
    if (this.state(service, nowMs).left < 1) return false;
    this.#account(service).held += 1;
    return true;
  }

  /**
   * Uses up a permit that is held, as the first byte leaves; returns whether the window bears the
   * retry. A retry counts when servers get it, and may have waited since it was acquired.
   */
  send(service: ServiceId, nowMs: number): boolean {
    this.release(service);
    const { earned, allowance } = this.state(service, nowMs);
    if (earned + allowance < 1) return false;
    const account = this.#account(service);
    const paid = Math.min(1, earned);
    account.earned = earned - paid;
    if (paid < 1) account.charges.push({ atMs: nowMs, amount: 1 - paid });
    return true;
  }

  /** Gives back a permit that is held. */
  release(service: ServiceId): void {
    this.#account(service).held -= 1;
  }

  /** What the budget of a service stands at. */
  state(service: ServiceId, nowMs: number): RetryBudgetState {
    const account = this.#account(service);
    const mostSaved = this.#mostSaved(account, nowMs);
    const earned = Math.min(account.earned, mostSaved);
    const mostAllowance = this.#mostAllowance(nowMs);
    const charged = this.#charged(account, nowMs);
    const allowance = Math.max(0, mostAllowance - charged);
    const left = earned + allowance - account.held;
    return {
      left,
      spare: left - RESERVED_SHARE * (mostSaved + mostAllowance),
      earned,
      allowance,
      held: account.held,
      requests: account.requests.total(nowMs),
      vms: this.#options.vms(),
    };
  }

  #isBehind(nowMs: number): boolean {
    return nowMs - this.#heartbeatMs >= SUSPENDED_MS ||
      nowMs < this.#backlogUntilMs;
  }

  #mostSaved({ requests }: Account, nowMs: number): number {
    return SAVED_SHARE * this.#bounds.ratio * requests.total(nowMs);
  }

  /** This VM's part of the fleet's allowance for one window. */
  #mostAllowance(nowMs: number): number {
    const { allowance, windowMs } = this.#bounds;
    const vms = this.#options.vms();
    // A VM that hears no other cannot tell how many of them have a part, too.
    if (vms === undefined) return 0;
    // What the process before this one has sent is not known, and may still count.
    if (nowMs - this.#options.startedMs <= windowMs) return 0;
    return ALLOWANCE_SHARE * allowance / vms;
  }

  /** What the window that ends now has taken out of that part. */
  #charged(account: Account, nowMs: number): number {
    const { windowMs } = this.#bounds;
    account.charges = account.charges.filter(({ atMs }) =>
      nowMs - atMs <= windowMs
    );
    return account.charges.reduce((sum, { amount }) => sum + amount, 0);
  }

  #account(service: ServiceId): Account {
    const known = this.#accounts.get(service);
    if (known !== undefined) return known;
    const account = {
      requests: new WindowCount(this.#bounds.windowMs),
      earned: 0,
      held: 0,
      charges: [],
    };
    this.#accounts.set(service, account);
    return account;
  }
}
