/** Retries that were sent and may still arrive at a server. */

import type { ServiceId } from "../ids.ts";

/** The part of a retry that was paid from the allowance. */
export interface Charge {
  readonly amount: number;
  /** Expiry: one window after the retry was settled; infinite until then. */
  untilMs: number;
}

/** A retry that was sent and may still arrive. */
export interface SentRetry {
  readonly service: ServiceId;
  readonly sentMs: number;
  /** Fraction that requests had earned; the rest was charged to the allowance. */
  readonly earned: number;
  readonly charge: Charge | undefined;
}

/** A set of sent retries that knows how much requests had earned of them. */
export class PendingRetries {
  readonly #retries = new Set<SentRetry>();
  #earned = 0;

  /** Number of retries. */
  get size(): number {
    return this.#retries.size;
  }

  /** Sum of the fractions that requests had earned. */
  get earned(): number {
    return this.#earned;
  }

  /** Adds a retry. */
  add(retry: SentRetry): void {
    this.#retries.add(retry);
    this.#earned += retry.earned;
  }

  /** Removes a retry; returns whether it was in the set. */
  delete(retry: SentRetry): boolean {
    if (!this.#retries.delete(retry)) return false;
    this.#earned -= retry.earned;
    // Discards rounding errors.
    if (this.#retries.size === 0) this.#earned = 0;
    return true;
  }

  /** Age of the retry that was added first, in milliseconds; 0 if there is none. */
  oldestMs(nowMs: number): number {
    const [oldest] = this.#retries;
    return oldest === undefined ? 0 : nowMs - oldest.sentMs;
  }
}
