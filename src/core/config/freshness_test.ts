import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { FRESH_FOR_MS, Freshness } from "./freshness.ts";

describe("the freshness of a configuration", () => {
  test("should not be there before the first confirmation", () => {
    assert.equal(new Freshness().isFresh(0), false);
  });

  test("should run out, and never count back to an earlier confirmation", () => {
    const freshness = new Freshness();
    freshness.confirm(1_000);
    freshness.confirm(500);
    assert.equal(freshness.isFresh(1_000 + FRESH_FOR_MS), true);
    assert.equal(freshness.isFresh(1_001 + FRESH_FOR_MS), false);
  });

  test("should take a majority's word only while the platform is away", () => {
    const freshness = new Freshness();
    freshness.confirmByMajority(10_000);
    assert.equal(freshness.isFresh(10_000), false);
    freshness.notePlatformAway(10_000);
    freshness.confirmByMajority(10_000 + FRESH_FOR_MS);
    assert.equal(freshness.isFresh(10_000 + FRESH_FOR_MS), true);
    freshness.confirmByMajority(10_001 + FRESH_FOR_MS);
    assert.equal(freshness.isFresh(10_001 + 2 * FRESH_FOR_MS), false);
  });
});
