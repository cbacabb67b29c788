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
});
