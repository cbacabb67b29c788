import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { SilentLogger } from "../runtime/logger.ts";
import { StoreHealthKeeper } from "./store_health.ts";

let nowMs: number;
let keeper: StoreHealthKeeper;

beforeEach(() => {
  nowMs = 10_000;
  keeper = new StoreHealthKeeper({
    clock: { monotonicMs: () => nowMs, wallMs: () => 0 },
    logger: new SilentLogger(),
  });
});

describe("health of the store", () => {
  /**
   * Seen before: a relay that was cut off from the store by itself lost it again and again,
   * and heard each time from others that it answers. Servers that had left were used for 3.03
   * to 4.9 s, as their entries seemed to be missing because of an outage.
   */
  it("should not take a store as back that was lost here only", () => {
    for (let n = 0; n < 3; n++) {
      keeper.failed("refused");
      assert.equal(keeper.health.reachable, false);
      nowMs += 100;
      keeper.heard(undefined);
      assert.deepEqual(keeper.health, {
        reachable: true,
        recoveredAtMs: undefined,
      });
      nowMs += 1_600;
    }
  });

  it("should date the store's return as others tell it", () => {
    keeper.failed("refused");
    nowMs += 5_000;
    keeper.heard(300);
    assert.equal(keeper.health.recoveredAtMs, nowMs - 300);
  });

  it("should date the store's return by an own call that is answered", () => {
    keeper.failed("refused");
    nowMs += 5_000;
    keeper.answered();
    assert.equal(keeper.health.recoveredAtMs, nowMs);
    nowMs += 1_000;
    keeper.answered();
    assert.equal(keeper.health.recoveredAtMs, nowMs - 1_000);
  });

  it("should tell those who listen of a return, however it is learnt", () => {
    let returns = 0;
    keeper.onBack(() => returns += 1);
    keeper.failed("refused");
    keeper.heard(undefined);
    keeper.failed("refused");
    keeper.answered();
    assert.equal(returns, 2);
  });
});
