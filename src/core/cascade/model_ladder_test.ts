import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { ModelId, RouteId } from "../ids.ts";
import { escalateTo, firstModel, type LadderInput } from "./model_ladder.ts";
import type { Route } from "../routes/route.ts";
import { ModelPace } from "./model_pace.ts";

const SMALL = "m0" as ModelId;
const LARGE = "m2" as ModelId;
const INPUT: LadderInput = {
  models: [SMALL, "m1" as ModelId, LARGE],
  model: SMALL,
  confidence: 40,
  usedMs: 100,
  targetMs: 2_000,
  limitMs: 8_000,
  largest: { firstMs: 500, totalMs: 1_500 },
  startMs: 500,
  runsLeft: 2,
};

describe("model ladder", () => {
  it("should begin with the smallest, but not where only one run is allowed", () => {
    const route = { kind: "stream", models: INPUT.models } as unknown as Route;
    assert.equal(firstModel({ ...route, resumable: true }), SMALL);
    assert.equal(firstModel({ ...route, resumable: false }), LARGE);
  });

  it("should ask the largest model where the small one is not sure", () => {
    assert.equal(escalateTo(INPUT), LARGE);
    assert.equal(escalateTo({ ...INPUT, confidence: 90 }), undefined);
  });

  it("should pass on doubtful answers where the larger model would be late", () => {
    const late = { ...INPUT, startMs: 2_500 };
    assert.equal(escalateTo(late), undefined);
    assert.equal(escalateTo({ ...late, confidence: 10 }), LARGE);
  });

  it("should want less confidence, the later the larger model would begin", () => {
    const tight = { ...INPUT, startMs: 1_500 };
    assert.equal(escalateTo({ ...tight, confidence: 40 }), undefined);
    assert.equal(escalateTo({ ...tight, confidence: 30 }), LARGE);
  });

  it("should pass on any answer where the larger model would come too late", () => {
    const hopeless = { ...INPUT, largest: { firstMs: 5_000, totalMs: 12_000 } };
    assert.equal(escalateTo({ ...hopeless, confidence: 0 }), undefined);
  });

  it("should pass on any answer where no server would begin the larger model in time", () => {
    for (const startMs of [INPUT.limitMs, Infinity]) {
      const late = { ...INPUT, startMs, confidence: 0 };
      assert.equal(escalateTo(late), undefined);
    }
  });

  it("should stay within the runs of the route, and at the largest model", () => {
    assert.equal(escalateTo({ ...INPUT, runsLeft: 0 }), undefined);
    assert.equal(escalateTo({ ...INPUT, model: LARGE }), undefined);
  });
});

describe("model pace", () => {
  it("should predict from the runs that it has seen", () => {
    const pace = new ModelPace();
    const route = "r" as RouteId;
    const size = { model: LARGE, promptTokens: 1_000, outputTokens: 100 };
    assert.equal(pace.predict(route, size), undefined);
    pace.observe({
      route,
      model: LARGE,
      firstMs: 200,
      totalMs: 700,
      promptTokens: 1_000,
      outputTokens: 50,
    });
    assert.deepEqual(pace.predict(route, size), {
      firstMs: 200,
      totalMs: 1_200,
    });
    const longer = pace.predict(route, { ...size, promptTokens: 3_000 });
    assert.ok((longer?.firstMs ?? 0) > 400);
  });
});
