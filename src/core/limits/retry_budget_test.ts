import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import type { ServiceId } from "../ids.ts";
import { RetryBudget } from "./retry_budget.ts";

const SERVICE = "tracker" as ServiceId;
const BOUNDS = { ratio: 0.5, windowMs: 10_000, allowance: 8 };
/** Options of a long-running VM: no retries of a previous process can still count. */
const LONG_RUNNING = { startedMs: -Infinity, vms: () => 1 };

/** Sends heartbeats for one second up to and including `untilMs`. */
function runUntil(budget: RetryBudget, untilMs: number): void {
  for (let atMs = untilMs - 1_000; atMs <= untilMs; atMs += 100) {
    budget.heartbeat(atMs);
  }
}

/** Sends a heartbeat and a request every 100 ms, up to and including `untilMs`. */
function runWithRequests(
  budget: RetryBudget,
  { fromMs, untilMs }: { fromMs: number; untilMs: number },
): void {
  for (let atMs = fromMs; atMs <= untilMs; atMs += 100) {
    budget.heartbeat(atMs);
    budget.countRequest(SERVICE, atMs);
  }
}

/** Acquires a permit and sends a retry; returns whether both succeeded. */
function send(budget: RetryBudget, nowMs: number): boolean {
  if (!budget.acquire(SERVICE, nowMs)) return false;
  const retry = budget.send(SERVICE, nowMs);
  if (retry !== undefined) budget.recordSettled(retry, nowMs);
  return retry !== undefined;
}

describe("retry budget", () => {
  it("should share the allowance among the VMs", () => {
    // Less than half of the allowance of 8 is used.
    for (const [vms, retries] of [[1, 3], [2, 1], [4, 0], [undefined, 0]]) {
      const budget = new RetryBudget(BOUNDS, {
        ...LONG_RUNNING,
        vms: () => vms,
      });
      let sent = 0;
      while (send(budget, 0)) sent += 1;
      assert.equal(sent, retries);
    }
  });

  it("should earn retries by requests and drop them after the window", () => {
    const budget = new RetryBudget({ ...BOUNDS, allowance: 0 }, LONG_RUNNING);
    runUntil(budget, -1_000);
    runWithRequests(budget, { fromMs: -900, untilMs: 0 });
    assert.equal(send(budget, 100), true);
    assert.equal(send(budget, 20_000), false);
  });

  it("should earn its first retries only by requests after a start", () => {
    const budget = new RetryBudget(BOUNDS, { ...LONG_RUNNING, startedMs: 0 });
    runUntil(budget, 9_499);
    assert.equal(send(budget, 9_499), false);
    runWithRequests(budget, { fromMs: 9_499, untilMs: 9_999 });
    assert.equal(send(budget, 9_999), true);
    runUntil(budget, 9_999);
    assert.equal(send(budget, 9_999), false);
    assert.equal(send(budget, 10_001), true);
  });

  it("should reserve a fraction of the balance for lost answers", () => {
    const budget = new RetryBudget({ ...BOUNDS, allowance: 0 }, LONG_RUNNING);
    runUntil(budget, -20_100);
    runWithRequests(budget, { fromMs: -20_000, untilMs: 0 });
    const { earned } = budget.state(SERVICE, 0);
    // A fifth of 100 requests, the oldest of which may be dropped a little early.
    assert.ok(earned >= 18 && earned < 20.3);
    let sent = 0;
    while (budget.state(SERVICE, 0).unreserved >= 1 && send(budget, 0)) {
      sent += 1;
    }
    assert.equal(sent, Math.floor(0.75 * earned));
    while (send(budget, 0)) sent += 1;
    assert.equal(sent, Math.floor(earned));
  });

  // Guards against retries that are held back and arrive in one window with others saved meanwhile.
  it("should count retries that may still arrive against what may be saved", () => {
    const budget = new RetryBudget({ ...BOUNDS, allowance: 0 }, LONG_RUNNING);
    runUntil(budget, -20_100);
    runWithRequests(budget, { fromMs: -20_000, untilMs: 0 });
    const before = budget.state(SERVICE, 0).earned;
    assert.equal(budget.acquire(SERVICE, 0), true);
    const retry = budget.send(SERVICE, 0);
    assert.ok(retry !== undefined);
    budget.recordAck(retry);
    runWithRequests(budget, { fromMs: 100, untilMs: 5_000 });
    const { earned, unacked, unsettled } = budget.state(SERVICE, 5_000);
    assert.deepEqual([unacked, unsettled], [0, 1]);
    assert.ok(Math.abs(before - 1 - earned) < 0.3);
    budget.recordSettled(retry, 5_000);
    runWithRequests(budget, { fromMs: 5_100, untilMs: 8_000 });
    assert.ok(Math.abs(before - budget.state(SERVICE, 8_000).earned) < 0.3);
  });

  it("should not earn retries by requests that arrived while the process was suspended", () => {
    const budget = new RetryBudget({ ...BOUNDS, allowance: 0 }, LONG_RUNNING);
    runUntil(budget, 0);
    const resumedMs = 5_000;
    for (let n = 0; n < 10; n++) budget.countRequest(SERVICE, resumedMs);
    budget.heartbeat(resumedMs + 1);
    for (let n = 0; n < 10; n++) budget.countRequest(SERVICE, resumedMs + 2);
    assert.equal(send(budget, resumedMs + 3), false);
    runUntil(budget, resumedMs + 1_000);
    runWithRequests(budget, {
      fromMs: resumedMs + 1_100,
      untilMs: resumedMs + 2_000,
    });
    assert.equal(send(budget, resumedMs + 2_000), true);
  });

  it("should keep the retries of any window within the bounds", () => {
    const events = fc.array(
      fc.record({
        gapMs: fc.integer({ min: 0, max: 900 }),
        retry: fc.boolean(),
      }),
      { maxLength: 200 },
    );
    fc.assert(
      fc.property(events, (list) => {
        const budget = new RetryBudget(BOUNDS, LONG_RUNNING);
        const requests: number[] = [];
        const retries: number[] = [];
        let nowMs = 0;
        for (const { gapMs, retry } of list) {
          nowMs += gapMs;
          runUntil(budget, nowMs);
          if (!retry) {
            budget.countRequest(SERVICE, nowMs);
            requests.push(nowMs);
          } else if (send(budget, nowMs)) {
            retries.push(nowMs);
          }
        }
        for (const end of retries) {
          const inWindow = (at: number) =>
            at <= end && at > end - BOUNDS.windowMs;
          const allowed = BOUNDS.ratio * requests.filter(inWindow).length +
            BOUNDS.allowance;
          assert.ok(retries.filter(inWindow).length <= allowed);
        }
      }),
      { seed: 1, numRuns: 200 },
    );
  });
});
