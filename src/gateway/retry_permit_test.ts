import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import type { ServiceId } from "../core/ids.ts";
import { RetryBudget } from "../core/limits/retry_budget.ts";
import { RetryPermit } from "./retry_permit.ts";

const SERVICE = "tracker" as ServiceId;
const WINDOW_MS = 10_000;

let retryBudget: RetryBudget;
let nowMs: number;

function permit(): RetryPermit {
  const clock = { monotonicMs: () => nowMs, wallMs: () => nowMs };
  return new RetryPermit({ retryBudget, clock }, SERVICE);
}

beforeEach(() => {
  nowMs = 1_000;
  // Allows one retry: the budget uses less than half of the allowance of 3.
  const bounds = { ratio: 0, windowMs: WINDOW_MS, allowance: 3 };
  retryBudget = new RetryBudget(bounds, {
    startedMs: -Infinity,
    vms: () => 1,
  });
});

describe("retry permit", () => {
  it("should be acquired once and pay for one retry", () => {
    const one = permit();
    assert.equal(one.acquire(), true);
    assert.equal(one.acquire(), true);
    assert.equal(one.consume(), true);
    assert.equal(one.consume(), false);
    assert.equal(one.acquire(), false);
  });

  it("should not be available to other requests while it is held", () => {
    const one = permit();
    one.acquire();
    assert.equal(permit().acquire(), false);
    assert.equal(permit().isAvailable, false);
    assert.equal(one.isAvailable, true);
    assert.equal(one.consume(), true);
  });

  it("should be available to other requests once it is released", () => {
    const one = permit();
    one.acquire();
    one.release();
    one.release();
    const other = permit();
    assert.equal(other.acquire(), true);
    assert.equal(permit().acquire(), false);
  });

  it("should stay reserved until it is consumed, even beyond the window", () => {
    const waiting = permit();
    assert.equal(waiting.acquire(), true);
    nowMs += WINDOW_MS + 1;
    assert.equal(permit().acquire(), false);
    assert.equal(waiting.consume(), true);
    nowMs += WINDOW_MS - 1;
    assert.equal(permit().acquire(), false);
  });

  it("should not be consumed once the requests that earned it have left the window", () => {
    const bounds = { ratio: 0.9, windowMs: WINDOW_MS, allowance: 0 };
    retryBudget = new RetryBudget(bounds, { startedMs: 0, vms: () => 1 });
    for (const atMs of [0, 300, 600, 900]) retryBudget.heartbeat(atMs);
    for (let n = 0; n < 3; n++) permit().countRequest();
    const waiting = permit();
    assert.equal(waiting.acquire(), true);
    nowMs += WINDOW_MS + 1;
    assert.equal(waiting.consume(), false);
  });

  it("should be waited for, for a limited time, while it takes an acknowledgement of another retry", () => {
    const bounds = { ratio: 0.9, windowMs: WINDOW_MS, allowance: 0 };
    retryBudget = new RetryBudget(bounds, {
      startedMs: -Infinity,
      vms: () => 1,
    });
    for (; nowMs < 5_000; nowMs += 100) {
      retryBudget.heartbeat(nowMs);
      retryBudget.countRequest(SERVICE, nowMs);
    }
    const sent = permit();
    assert.ok(sent.acquire() && sent.consume());
    const waiting = permit();
    assert.equal(waiting.acquire(), false);
    assert.ok(waiting.budgetState().isAckScarce);
    let waitedMs = 0;
    for (;;) {
      const waitMs = waiting.nextAckWaitMs();
      if (waitMs === undefined) break;
      waitedMs += waitMs;
    }
    assert.equal(waitedMs, 300);
    sent.attemptAcked();
    sent.attemptAcked();
    assert.equal(waiting.acquire(), true);
  });

  it("should not be waited for if no acknowledgement makes it available", () => {
    const one = permit();
    assert.ok(one.acquire() && one.consume());
    assert.equal(permit().nextAckWaitMs(), undefined);
  });
});
