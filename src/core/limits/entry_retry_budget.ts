/** Limits an entry's retries to a fraction of its requests, so that retries do not amplify an overload. */

/** Retries that each request adds to the budget. */
const RETRIES_PER_REQUEST = 0.1;
/** Maximum balance, in retries. */
const MAX_BALANCE = 20;

/** Retry budget: requests add to its balance, retries take from it. */
export class EntryRetryBudget {
  #balance = MAX_BALANCE;

  /** Counts a caller's request; called once for each, however many steps and attempts it takes. */
  deposit(): void {
    this.#balance = Math.min(MAX_BALANCE, this.#balance + RETRIES_PER_REQUEST);
  }

  /** Takes one retry from the balance; returns whether there was one. */
  tryWithdraw(): boolean {
    if (this.#balance < 1) return false;
    this.#balance -= 1;
    return true;
  }
}
