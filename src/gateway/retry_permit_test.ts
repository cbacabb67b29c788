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
  // Enough for one retry: less than half of the allowance is used.
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
    assert.equal(one.send(), true);
    assert.equal(one.send(), false);
    assert.equal(one.acquire(), false);
  });

  it("should leave others nothing of what it holds", () => {
    const one = permit();
    one.acquire();
    assert.equal(permit().acquire(), false);
    assert.equal(permit().isAvailable, false);
    assert.equal(one.isAvailable, true);
    assert.equal(one.send(), true);
  });

  it("should be there for others once it is given back", () => {
    const one = permit();
    one.acquire();
    one.release();
    one.release();
    const other = permit();
    assert.equal(other.acquire(), true);
    assert.equal(permit().acquire(), false);
  });

  it("should hold its place until it is sent, however long it waits", () => {
    const waiting = permit();
    assert.equal(waiting.acquire(), true);
    nowMs += WINDOW_MS + 1;
    assert.equal(permit().acquire(), false);
    assert.equal(waiting.send(), true);
    nowMs += WINDOW_MS - 1;
    assert.equal(permit().acquire(), false);
  });

  it("should not be used where what it was acquired by is forgotten", () => {
    const bounds = { ratio: 0.9, windowMs: WINDOW_MS, allowance: 0 };
    retryBudget = new RetryBudget(bounds, { startedMs: 0, vms: () => 1 });
    for (const atMs of [0, 300, 600, 900]) retryBudget.heartbeat(atMs);
    for (let n = 0; n < 3; n++) permit().countRequest();
    const waiting = permit();
    assert.equal(waiting.acquire(), true);
    nowMs += WINDOW_MS + 1;
    assert.equal(waiting.send(), false);
  });
});
