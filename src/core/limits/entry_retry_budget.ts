/** Keeps retries a small part of all requests, so that they never amplify a wave. */

/** Retries earned by each request. */
const EARNED_PER_REQUEST = 0.1;
/** Retries that may be saved up. */
const MOST_SAVED = 20;

/** A budget that requests fill and retries spend. */
export class EntryRetryBudget {
  #saved = MOST_SAVED;

  /** Counts a first try. */
  deposit(): void {
    this.#saved = Math.min(MOST_SAVED, this.#saved + EARNED_PER_REQUEST);
  }

  /** Returns whether a retry may be made, and counts it. */
  tryWithdraw(): boolean {
    if (this.#saved < 1) return false;
    this.#saved -= 1;
    return true;
  }
}
