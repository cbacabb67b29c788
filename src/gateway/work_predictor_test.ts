import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import type { ModelId, ServiceId } from "../core/ids.ts";
import type { Service } from "../core/routes/route.ts";
import { PrefillTimeEstimator } from "../core/servers/prefill_time_estimator.ts";
import { decodeCallerHead } from "../platform/header_wire.ts";
import { WorkPredictor } from "./work_predictor.ts";

const SMALL = "m0" as ModelId;
const LARGE = "m2" as ModelId;
const SERVICE: Service = {
  id: "inspect" as ServiceId,
  maxConnections: 64,
  warmup: undefined,
  engine: {
    slots: 64,
    cacheTokens: 400_000,
    models: [
      { id: SMALL, costPer1kTokens: 0.01 },
      { id: LARGE, costPer1kTokens: 0.1 },
    ],
  },
};
/** 6,000 tokens that others share and 2,000 of its own. */
const HEAD = decodeCallerHead({
  "fieldrack-token-usage": "8000,100",
  "fieldrack-prefix-hash": "aa:4000,bb:2000,cc:2000",
});

let prefillTimeEstimator: PrefillTimeEstimator;

function predict(model: ModelId) {
  return new WorkPredictor({ prefillTimeEstimator }).predict(HEAD, {
    service: SERVICE,
    model,
  });
}

beforeEach(() => {
  prefillTimeEstimator = new PrefillTimeEstimator();
});

describe("prediction of work", () => {
  it("should tell own parts of a prompt from shared ones", () => {
    const { readMs, sharedMs } = predict(LARGE);
    assert.equal(Math.round(sharedMs / (readMs - 1)), 3);
  });

  it("should expect dearer models to be slower before any was watched", () => {
    assert.ok(predict(LARGE).sharedMs >= 5 * predict(SMALL).sharedMs);
  });

  it("should go by the pace that was learnt", () => {
    for (let n = 0; n < 40; n++) {
      prefillTimeEstimator.observe({
        service: SERVICE.id,
        model: LARGE,
        tokens: 2_000,
        elapsedMs: 180,
      });
    }
    assert.equal(Math.round(predict(LARGE).sharedMs), 480);
  });

  it("should take requests to plain services as alike", () => {
    const predictor = new WorkPredictor({ prefillTimeEstimator });
    const plain = { ...SERVICE, engine: undefined };
    const work = predictor.predict(HEAD, { service: plain, model: undefined });
    assert.equal(work.sharedMs, 0);
    assert.ok(work.readMs > 0);
  });
});
