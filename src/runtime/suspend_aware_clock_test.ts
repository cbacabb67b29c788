import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { SuspendAwareClock } from "./suspend_aware_clock.ts";

let monotonicMs: number;
let wallMs: number;
let clock: SuspendAwareClock;

beforeEach(() => {
  monotonicMs = 500;
  wallMs = 1_700_000_000_000;
  clock = new SuspendAwareClock({
    clock: { monotonicMs: () => monotonicMs, wallMs: () => wallMs },
  });
});

function advance(ms: number): void {
  monotonicMs += ms;
  wallMs += ms;
}

function ageAfter(change: () => void): number {
  const fromMs = clock.nowMs();
  change();
  return clock.nowMs() - fromMs;
}

describe("clock that counts suspensions", () => {
  it("should advance with the monotonic clock", () => {
    assert.equal(ageAfter(() => advance(1_500)), 1_500);
  });

  it("should count the time for which the VM was suspended", () => {
    const age = ageAfter(() => {
      advance(100);
      wallMs += 6_000;
      advance(50);
    });
    assert.equal(age, 6_150);
  });

  it("should never shorten an age, however the wall clock is set", () => {
    assert.equal(ageAfter(() => wallMs -= 2_000), 0);
    assert.equal(ageAfter(() => advance(300)), 300);
    // When the clock is set forward again, the age is too long by that amount, once.
    assert.equal(ageAfter(() => wallMs += 2_000), 2_000);
    assert.equal(ageAfter(() => advance(300)), 300);
  });

  it("should accumulate small drifts of the wall clock", () => {
    const age = ageAfter(() => {
      for (let n = 0; n < 30; n++) {
        advance(1_000);
        wallMs += 10;
        clock.nowMs();
      }
    });
    assert.ok(age >= 30_000 && age <= 30_300);
  });
});
