import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import type { ServiceId } from "../core/ids.ts";
import { RetryBudget } from "../core/limits/retry_budget.ts";
import { RetryPermit } from "./retry_permit.ts";

const SERVICE = "tracker" as ServiceId;

let retryBudget: RetryBudget;

let nowMs: number;

function reservation(): RetryPermit {
  const clock = { monotonicMs: () => nowMs, wallMs: () => nowMs };
  return new RetryPermit({ retryBudget, clock }, SERVICE);
}

beforeEach(() => {
  nowMs = 1_000;
  // Room for one retry: a part of the allowance is kept back.
  retryBudget = new RetryBudget({
    ratio: 0,
    windowMs: 10_000,
    allowance: 3,
  }, { startedMs: -Infinity, vms: () => 1 });
});

describe("retry permit", () => {
  it("should take what was reserved, and pay for it once", () => {
    const retries = reservation();
    assert.equal(retries.reserve(), true);
    assert.equal(retries.reserve(), true);
    assert.equal(retries.take(), true);
    assert.equal(retries.take(), false);
  });

  it("should leave others nothing of what it has reserved", () => {
    const retries = reservation();
    retries.reserve();
    assert.equal(reservation().reserve(), false);
    assert.equal(reservation().take(), false);
    assert.equal(retries.take(), true);
  });

  it("should use what was given back for the next try", () => {
    const retries = reservation();
    assert.equal(retries.take(), true);
    retries.giveBack();
    assert.equal(retries.take(), true);
    assert.equal(retries.take(), false);
  });

  it("should not be used a window later beside what was sent meanwhile", () => {
    const waiting = reservation();
    assert.equal(waiting.reserve(), true);
    nowMs += 10_001;
    assert.equal(reservation().take() && waiting.take(), false);
  });
});
