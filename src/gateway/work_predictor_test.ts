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
/** 6,000 tokens shared with other requests and 2,000 unshared ones. */
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

describe("work predictor", () => {
  it("should distinguish shared and unshared prompt tokens", () => {
    const { prefillMs, sharedPrefillMs } = predict(LARGE);
    assert.equal(Math.round(sharedPrefillMs / (prefillMs - 1)), 3);
  });

  it("should assume that more expensive models are slower until speeds are observed", () => {
    assert.ok(
      predict(LARGE).sharedPrefillMs >= 5 * predict(SMALL).sharedPrefillMs,
    );
  });

  it("should use the observed prefill speed", () => {
    for (let n = 0; n < 40; n++) {
      prefillTimeEstimator.observe({
        service: SERVICE.id,
        model: LARGE,
        tokens: 2_000,
        elapsedMs: 180,
      });
    }
    assert.equal(Math.round(predict(LARGE).sharedPrefillMs), 480);
  });

  it("should predict no shared prefill for a service without models", () => {
    const predictor = new WorkPredictor({ prefillTimeEstimator });
    const plain = { ...SERVICE, engine: undefined };
    const work = predictor.predict(HEAD, { service: plain, model: undefined });
    assert.equal(work.sharedPrefillMs, 0);
    assert.ok(work.prefillMs > 0);
  });
});
