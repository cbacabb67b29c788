/** Bounds on the requests that an entry has in flight. */

import type { Account } from "../config/configuration.ts";
import type { AccountId } from "../ids.ts";
import type { RequestError } from "../request_error.ts";
import { fail, ok, type Result } from "../result.ts";

/** Delay after which a rejected caller should retry. */
const RETRY_AFTER_MS = 500;

/** Counts requests in flight, in total and per client account. */
export class InFlightLimits {
  readonly #limit: number;
  readonly #byAccount = new Map<AccountId, number>();
  #total = 0;

  constructor(limit: number) {
    this.#limit = limit;
  }

  /** Requests in flight. */
  get total(): number {
    return this.#total;
  }

  /** Requests of one client account in flight. */
  countOfAccount(id: AccountId): number {
    return this.#byAccount.get(id) ?? 0;
  }

  /** Admits a request, which must end with `release`, or returns why it is rejected. */
  tryAcquire(account: Account): Result<undefined, RequestError> {
    if (this.#total >= this.#limit) {
      return fail({ tag: "overloaded", retryAfterMs: RETRY_AFTER_MS });
    }
    const count = this.countOfAccount(account.id);
    if (count >= account.max_in_flight) {
      const limit = account.max_in_flight;
      return fail({
        tag: "account_limit",
        limit,
        retryAfterMs: RETRY_AFTER_MS,
      });
    }
    this.#total += 1;
    this.#byAccount.set(account.id, count + 1);
    return ok(undefined);
  }

  /** Ends a request that was admitted. */
  release(id: AccountId): void {
    this.#total -= 1;
    const count = this.countOfAccount(id) - 1;
    if (count > 0) this.#byAccount.set(id, count);
    else this.#byAccount.delete(id);
  }
}
