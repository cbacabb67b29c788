/**
 * Bounds the retries that a service gets from all VMs together, without a word between VMs: each
 * VM earns a part of a retry with each request of its own callers, and saves up only so much.
 */

import type { ServiceId } from "../ids.ts";
import { SurgeLimit } from "./burst_detector.ts";
import { WindowCount } from "./sliding_window_counter.ts";

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
  readonly available: number;
  /** Those of them that are not kept for answers that would be lost. */
  readonly unreserved: number;
  /** Retries earned by requests and not sent yet; negative while too many lie unread. */
  readonly earned: number;
  /** Those of them that may be sent now, as not too many lie unread. */
  readonly sendable: number;
  /** Retries earned by requests that may still arrive at a server. */
  readonly unacked: number;
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
/**
 * Part of the ratio that may lie unread for each request of the last window, beyond one retry. It
 * may still be read once requests have become few, and pay for less.
 */
const UNREAD_SHARE = 0.2;
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
  readonly amount: number;
  /** When the window of its arrival ends; infinite while it may still arrive. */
  untilMs: number;
}

/** A retry that was sent and has not arrived yet, as far as is known. */
export interface SentRetry {
  readonly service: ServiceId;
  /** Part of it that was earned by requests; the rest was charged on the allowance. */
  readonly earned: number;
  readonly charge: Charge | undefined;
}

interface Account {
  /** Requests that earn. */
  readonly requests: WindowCount;
  readonly surgeLimit: SurgeLimit;
  earned: number;
  /** Retries that may still arrive. */
  readonly unread: Set<SentRetry>;
  /** When the last of them arrived. */
  arrivedMs: number;
  /** Permits that were acquired and not sent yet. */
  held: number;
  /** Charges on the allowance that count in the window. */
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
    const account = this.#account(service);
    const isRecent = account.surgeLimit.take(nowMs) && !this.#isBehind(nowMs);
    // It may have been sent in an earlier window, where it does not pay for this one.
    if (!isRecent) return;
    account.requests.add(nowMs);
    account.earned += EARNED_SHARE * this.#bounds.ratio;
    this.#limitSaved(account, nowMs);
  }

  /** Holds a permit for one retry; returns whether it could. */
  acquire(service: ServiceId, nowMs: number): boolean {
    if (this.state(service, nowMs).available < 1) return false;
    this.#account(service).held += 1;
    return true;
  }

  /**
   * Uses up a permit that is held, as the first byte leaves; returns nothing where the window does
   * not bear the retry. It may have waited since it was acquired.
   */
  send(service: ServiceId, nowMs: number): SentRetry | undefined {
    this.release(service);
    const { sendable, allowance } = this.state(service, nowMs);
    if (sendable + allowance < 1) return undefined;
    const account = this.#account(service);
    const paid = Math.min(1, sendable);
    account.earned -= paid;
    const charge = paid === 1
      ? undefined
      : { amount: 1 - paid, untilMs: Infinity };
    if (charge !== undefined) account.charges.push(charge);
    const retry = { service, earned: paid, charge };
    account.unread.add(retry);
    return retry;
  }

  /** Notes that a retry has arrived at its server, or can't arrive any more. */
  recordArrival(retry: SentRetry, nowMs: number): void {
    const account = this.#account(retry.service);
    this.#limitSaved(account, nowMs);
    account.unread.delete(retry);
    account.arrivedMs = nowMs;
    const { charge } = retry;
    if (charge !== undefined) charge.untilMs = nowMs + this.#bounds.windowMs;
  }

  /** Gives back a permit that is held. */
  release(service: ServiceId): void {
    this.#account(service).held -= 1;
  }

  /** What the budget of a service stands at. */
  state(service: ServiceId, nowMs: number): RetryBudgetState {
    const account = this.#account(service);
    this.#limitSaved(account, nowMs);
    const { earned } = account;
    const mostSaved = this.#mostSaved(account, nowMs);
    const mostAllowance = this.#mostAllowance(nowMs);
    const charged = this.#charged(account, nowMs);
    const allowance = Math.max(0, mostAllowance - charged);
    const sendable = this.#sendable(account, nowMs);
    const left = sendable + allowance - account.held;
    return {
      available: left,
      unreserved: left - RESERVED_SHARE * (mostSaved + mostAllowance),
      earned,
      sendable,
      unacked: unreadOf(account),
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

  /**
   * Retries count as they arrive, which may be long after they were sent. What is saved and what
   * lies unread may arrive together, so both have one limit; and what lies unread beyond it, as
   * requests become fewer, is owed by later requests.
   */
  #limitSaved(account: Account, nowMs: number): void {
    const { unread, arrivedMs } = account;
    const isSettled = unread.size === 0 &&
      nowMs - arrivedMs > this.#bounds.windowMs;
    if (isSettled) account.earned = Math.max(0, account.earned);
    const most = this.#mostSaved(account, nowMs) - unreadOf(account);
    account.earned = Math.min(account.earned, most);
  }

  #sendable(account: Account, nowMs: number): number {
    const unread = unreadOf(account);
    const { ratio } = this.#bounds;
    const most = UNREAD_SHARE * ratio * account.requests.total(nowMs);
    const room = unread === 0 ? Infinity : most - unread;
    return Math.max(0, Math.min(account.earned, room));
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
    account.charges = account.charges.filter(({ untilMs }) => nowMs <= untilMs);
    return account.charges.reduce((sum, { amount }) => sum + amount, 0);
  }

  #account(service: ServiceId): Account {
    const known = this.#accounts.get(service);
    if (known !== undefined) return known;
    const account = {
      requests: new WindowCount(this.#bounds.windowMs),
      surgeLimit: new SurgeLimit({
        windowMs: this.#bounds.windowMs,
        startedMs: this.#options.startedMs,
      }),
      earned: 0,
      unread: new Set<SentRetry>(),
      arrivedMs: -Infinity,
      held: 0,
      charges: [],
    };
    this.#accounts.set(service, account);
    return account;
  }
}

function unreadOf({ unread }: Account): number {
  let sum = 0;
  for (const { earned } of unread) sum += earned;
  return sum;
}
