import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { ModelId, RouteId } from "../ids.ts";
import {
  type EscalationContext,
  escalationTarget,
  initialModel,
} from "./model_escalation.ts";
import type { Route } from "../routes/route.ts";
import { ModelLatencyEstimator } from "./model_latency_estimator.ts";

const SMALL = "m0" as ModelId;
const LARGE = "m2" as ModelId;
const INPUT: EscalationContext = {
  models: [SMALL, "m1" as ModelId, LARGE],
  model: SMALL,
  confidence: 40,
  usedMs: 100,
  targetMs: 2_000,
  limitMs: 8_000,
  largest: { firstMs: 500, totalMs: 1_500 },
  largestStartMs: 500,
  runsLeft: 2,
};

describe("model escalation", () => {
  it("should start with the smallest model unless only one run is allowed", () => {
    const route = { kind: "stream", models: INPUT.models } as unknown as Route;
    assert.equal(initialModel({ ...route, resumable: true }), SMALL);
    assert.equal(initialModel({ ...route, resumable: false }), LARGE);
  });

  it("should escalate to the largest model if the small one is not confident", () => {
    assert.equal(escalationTarget(INPUT), LARGE);
    assert.equal(escalationTarget({ ...INPUT, confidence: 90 }), undefined);
  });

  it("should accept less confident answers if the larger model would be late", () => {
    const late = { ...INPUT, largestStartMs: 2_500 };
    assert.equal(escalationTarget(late), undefined);
    assert.equal(escalationTarget({ ...late, confidence: 10 }), LARGE);
  });

  it("should require less confidence the later the larger model would start", () => {
    const tight = { ...INPUT, largestStartMs: 1_500 };
    assert.equal(escalationTarget({ ...tight, confidence: 40 }), undefined);
    assert.equal(escalationTarget({ ...tight, confidence: 30 }), LARGE);
  });

  it("should accept any answer if the larger model would finish too late", () => {
    const hopeless = { ...INPUT, largest: { firstMs: 5_000, totalMs: 12_000 } };
    assert.equal(escalationTarget({ ...hopeless, confidence: 0 }), undefined);
  });

  it("should accept any answer if no server would start the larger model in time", () => {
    for (const largestStartMs of [INPUT.limitMs, Infinity]) {
      const late = { ...INPUT, largestStartMs, confidence: 0 };
      assert.equal(escalationTarget(late), undefined);
    }
  });

  it("should not exceed the runs of the route or the largest model", () => {
    assert.equal(escalationTarget({ ...INPUT, runsLeft: 0 }), undefined);
    assert.equal(escalationTarget({ ...INPUT, model: LARGE }), undefined);
  });
});

describe("model latency estimator", () => {
  it("should predict from observed runs", () => {
    const estimator = new ModelLatencyEstimator();
    const route = "r" as RouteId;
    const size = { model: LARGE, promptTokens: 1_000, outputTokens: 100 };
    assert.equal(estimator.predict(route, size), undefined);
    estimator.observe({
      route,
      model: LARGE,
      firstMs: 200,
      totalMs: 700,
      promptTokens: 1_000,
      outputTokens: 50,
    });
    assert.deepEqual(estimator.predict(route, size), {
      firstMs: 200,
      totalMs: 1_200,
    });
    const longer = estimator.predict(route, { ...size, promptTokens: 3_000 });
    assert.ok((longer?.firstMs ?? 0) > 400);
  });
});
