/** Bounds how often requests are sent to servers beyond their first time. */

import type { ServiceId } from "../ids.ts";

/** What the fleet is allowed over one window. */
export interface RetryBounds {
  /** Retries as a share of the requests for the service. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Retries of the whole fleet beyond that share. */
  readonly allowance: number;
}

/** Parts into which the window is cut; more follow the time more closely. */
const SLICES = 20;
/**
 * Part of the bounds that is used. The rest covers requests that callers sent to VMs
 * that died with them, and windows that lie between our slices.
 */
const USED_SHARE = 0.85;

/** What a budget stands at, for the log. */
export interface RetryBudgetState {
  /** Retries that may still be sent now. */
  readonly left: number;
  /** Requests and retries of this VM in the window. */
  readonly requests: number;
  readonly retries: number;
  /** VMs among which the allowance is split. */
  readonly vms: number;
}

interface Slice {
  readonly startMs: number;
  requests: number;
  retries: number;
}

/** Counts over a sliding window, for each service. */
export class RetryBudget {
  readonly #bounds: RetryBounds;
  readonly #slices = new Map<ServiceId, Slice[]>();
  #vms = 1;

  constructor(bounds: RetryBounds) {
    this.#bounds = bounds;
  }

  /** Tells among how many VMs the allowance is split. */
  setVms(vms: number): void {
    this.#vms = Math.max(1, vms);
  }

  /** Counts a caller's request. */
  countRequest(service: ServiceId, nowMs: number): void {
    this.#slice(service, nowMs).requests += 1;
  }

  /** Returns whether a request may be sent once more, and counts it if so. */
  spend(service: ServiceId, nowMs: number): boolean {
    if (this.left(service, nowMs) < 1) return false;
    this.#slice(service, nowMs).retries += 1;
    return true;
  }

  /** Retries that may still be made now. */
  left(service: ServiceId, nowMs: number): number {
    return this.state(service, nowMs).left;
  }

  /** What the budget of a service stands at. */
  state(service: ServiceId, nowMs: number): RetryBudgetState {
    const { ratio, allowance } = this.#bounds;
    const slices = this.#recent(service, nowMs);
    const requests = slices.reduce((sum, slice) => sum + slice.requests, 0);
    const retries = slices.reduce((sum, slice) => sum + slice.retries, 0);
    const allowed = ratio * requests + allowance / this.#vms;
    const left = USED_SHARE * allowed - retries;
    return { left, requests, retries, vms: this.#vms };
  }

  #slice(service: ServiceId, nowMs: number): Slice {
    const slices = this.#recent(service, nowMs);
    const newest = slices.at(-1);
    const sliceMs = this.#bounds.windowMs / SLICES;
    if (newest !== undefined && nowMs - newest.startMs < sliceMs) return newest;
    const slice = { startMs: nowMs, requests: 0, retries: 0 };
    slices.push(slice);
    this.#slices.set(service, slices);
    return slice;
  }

  #recent(service: ServiceId, nowMs: number): Slice[] {
    const slices = this.#slices.get(service) ?? [];
    const startMs = nowMs - this.#bounds.windowMs;
    while (slices[0] !== undefined && slices[0].startMs < startMs) {
      slices.shift();
    }
    return slices;
  }
}
