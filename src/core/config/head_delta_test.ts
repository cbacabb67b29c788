import assert from "node:assert/strict";
import { describe, test } from "node:test";
import fc from "fast-check";
import type { Revision, Sha256 } from "../ids.ts";
import { applyHeadDelta, diffHeads } from "./head_delta.ts";
import type { Head } from "./stored_configuration.ts";

function head(revision: number, hashes: readonly string[]): Head {
  const objects = hashes.map((sha256, bucket) => ({
    section: "accounts" as const,
    bucket,
    sha256: sha256 as Sha256,
  }));
  return {
    revision: revision as Revision,
    objects,
    accepted: [],
    accepted_at_ms: revision,
  };
}

describe("head delta", () => {
  test("should yield the later head when applied to the earlier one, and apply to no other", () => {
    const pairs = fc.array(fc.tuple(fc.string(), fc.string()));
    fc.assert(
      fc.property(pairs, (hashes) => {
        const from = head(1, hashes.map(([before]) => before));
        const to = head(2, hashes.map(([, after]) => after));
        const delta = diffHeads(from, to);
        assert.ok(delta);
        assert.deepEqual(applyHeadDelta(from, delta), to);
        assert.equal(applyHeadDelta(head(3, []), delta), undefined);
        assert.equal(applyHeadDelta(undefined, delta), undefined);
      }),
      { seed: 4 },
    );
  });

  test("should require the whole head if objects are added or removed", () => {
    assert.equal(diffHeads(head(1, ["a"]), head(2, ["a", "b"])), undefined);
  });
});
