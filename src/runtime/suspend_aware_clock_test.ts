import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { SuspendAwareClock } from "./suspend_aware_clock.ts";

let steadyMs: number;
let wallMs: number;
let clock: SuspendAwareClock;

beforeEach(() => {
  steadyMs = 500;
  wallMs = 1_700_000_000_000;
  clock = new SuspendAwareClock({
    clock: { monotonicMs: () => steadyMs, wallMs: () => wallMs },
  });
});

function pass(ms: number): void {
  steadyMs += ms;
  wallMs += ms;
}

function ageOf(change: () => void): number {
  const fromMs = clock.nowMs();
  change();
  return clock.nowMs() - fromMs;
}

describe("clock for ages that a promise rests on", () => {
  it("should pass as the steady clock does", () => {
    assert.equal(ageOf(() => pass(1_500)), 1_500);
  });

  it("should count the time for which the VM was suspended", () => {
    const age = ageOf(() => {
      pass(100);
      wallMs += 6_000;
      pass(50);
    });
    assert.equal(age, 6_150);
  });

  it("should never make an age shorter, however the time of day is set", () => {
    assert.equal(ageOf(() => wallMs -= 2_000), 0);
    assert.equal(ageOf(() => pass(300)), 300);
    // And back: too long by that much, once.
    assert.equal(ageOf(() => wallMs += 2_000), 2_000);
    assert.equal(ageOf(() => pass(300)), 300);
  });

  it("should let small drifts of the time of day add up", () => {
    const age = ageOf(() => {
      for (let n = 0; n < 30; n++) {
        pass(1_000);
        wallMs += 10;
        clock.nowMs();
      }
    });
    assert.ok(age >= 30_000 && age <= 30_300);
  });
});
