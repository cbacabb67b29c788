import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { ModelId, ServiceId } from "../ids.ts";
import { PrefillTimeEstimator } from "./prefill_time_estimator.ts";

const SERVICE = "inspect" as ServiceId;
const SMALL = "m0" as ModelId;

function estimate(samples: readonly { tokens: number; elapsedMs: number }[]) {
  const estimator = new PrefillTimeEstimator();
  for (const sample of samples) {
    estimator.observe({ service: SERVICE, model: SMALL, ...sample });
  }
  return estimator.msPerToken(SERVICE, SMALL);
}

describe("prefill time estimator", () => {
  it("should give no estimate before there are enough samples", () => {
    assert.equal(estimate([{ tokens: 1_000, elapsedMs: 100 }]), undefined);
  });

  it("should estimate the time of servers without a queue", () => {
    const samples = Array.from({ length: 40 }, (_, n) => ({
      tokens: 1_000,
      // One request in four did not wait in a queue.
      elapsedMs: n % 4 === 0 ? 100 : 100 + 50 * n,
    }));
    assert.equal(estimate(samples), 0.08);
  });

  it("should ignore short prompts", () => {
    const short = { tokens: 100, elapsedMs: 100 };
    assert.equal(estimate(Array.from({ length: 40 }, () => short)), undefined);
  });
});
