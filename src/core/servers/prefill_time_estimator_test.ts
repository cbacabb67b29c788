import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { ModelId, ServiceId } from "../ids.ts";
import { PrefillTimeEstimator } from "./prefill_time_estimator.ts";

const SERVICE = "inspect" as ServiceId;
const SMALL = "m0" as ModelId;

function pace(samples: readonly { tokens: number; elapsedMs: number }[]) {
  const learnt = new PrefillTimeEstimator();
  for (const sample of samples) {
    learnt.observe({ service: SERVICE, model: SMALL, ...sample });
  }
  return learnt.msPerToken(SERVICE, SMALL);
}

describe("pace of reading", () => {
  it("should be unknown before enough was seen", () => {
    assert.equal(pace([{ tokens: 1_000, elapsedMs: 100 }]), undefined);
  });

  it("should be that of servers without a queue", () => {
    const samples = Array.from({ length: 40 }, (_, n) => ({
      tokens: 1_000,
      // One answer in four did not wait for others.
      elapsedMs: n % 4 === 0 ? 100 : 100 + 50 * n,
    }));
    assert.equal(pace(samples), 0.08);
  });

  it("should not be learnt from short prompts", () => {
    const short = { tokens: 100, elapsedMs: 100 };
    assert.equal(pace(Array.from({ length: 40 }, () => short)), undefined);
  });
});
