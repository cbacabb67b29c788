import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { Account } from "../config/configuration.ts";
import { InFlightLimits } from "./in_flight_limits.ts";
import { EntryRetryBudget } from "./entry_retry_budget.ts";

describe("in-flight limits", () => {
  const small = { id: "small", max_in_flight: 1 } as unknown as Account;
  const large = { id: "large", max_in_flight: 10 } as unknown as Account;

  test("should isolate a burst of one client account from the others", () => {
    const limits = new InFlightLimits(10);
    assert.equal(limits.tryAcquire(small).ok, true);
    const second = limits.tryAcquire(small);
    assert.ok(!second.ok && second.error.tag === "account_limit");
    assert.equal(limits.tryAcquire(large).ok, true);
    limits.release(small.id);
    assert.equal(limits.tryAcquire(small).ok, true);
  });

  test("should reject requests beyond the entry's own limit with a retry delay", () => {
    const limits = new InFlightLimits(1);
    limits.tryAcquire(large);
    const second = limits.tryAcquire(large);
    assert.ok(
      !second.ok && second.error.tag === "overloaded" &&
        second.error.retryAfterMs > 0,
    );
  });
});

describe("entry retry budget", () => {
  test("should limit retries to a tenth of the requests once the initial balance is used", () => {
    const budget = new EntryRetryBudget();
    while (budget.tryWithdraw());
    let retries = 0;
    for (let request = 0; request < 1_000; request++) {
      budget.deposit();
      if (budget.tryWithdraw()) retries += 1;
    }
    assert.ok(retries >= 99 && retries <= 100, `${retries} retries`);
  });
});
