import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { Freshness, MAX_CONFIRMATION_AGE_MS } from "./freshness.ts";

describe("the freshness of a configuration", () => {
  test("should be stale before the first confirmation", () => {
    assert.equal(new Freshness().isFresh(0), false);
  });

  test("should expire, and ignore earlier confirmations", () => {
    const freshness = new Freshness();
    freshness.confirm(1_000);
    freshness.confirm(500);
    assert.equal(freshness.isFresh(1_000 + MAX_CONFIRMATION_AGE_MS), true);
    assert.equal(freshness.isFresh(1_001 + MAX_CONFIRMATION_AGE_MS), false);
  });
});
