import assert from "node:assert/strict";
import { describe, test } from "node:test";
import fc from "fast-check";
import { sha256 } from "../../runtime/hashing.ts";
import { type Configuration, EMPTY_CONFIGURATION } from "./configuration.ts";
import { diffConfigurations } from "./configuration_diff.ts";
import { joinConfiguration, splitConfiguration } from "./object_split.ts";

function withCascades(steps: Record<string, string>): Configuration {
  const cascades = Object.entries(steps).map(([id, step]) => ({
    id,
    steps: [step],
  }));
  return { ...EMPTY_CONFIGURATION, cascades } as unknown as Configuration;
}

describe("objects of a configuration", () => {
  test("should yield the same configuration when joined", () => {
    fc.assert(
      fc.property(
        fc.dictionary(fc.string({ minLength: 1 }), fc.string()),
        (steps) => {
          const cfg = withCascades(steps);
          const objects = splitConfiguration(cfg, sha256);
          const contents = objects.map(({ text }) => JSON.parse(text));
          const joined = joinConfiguration(
            objects.map(({ ref }) => ref),
            contents,
          );
          assert.deepEqual(diffConfigurations(cfg, joined), []);
        },
      ),
      { seed: 1, numRuns: 200 },
    );
  });

  test("should change a single object when one entry changes", () => {
    const steps = Object.fromEntries(
      Array.from({ length: 500 }, (_, at) => [`c${at}`, "m"]),
    );
    const before = splitConfiguration(withCascades(steps), sha256);
    const after = splitConfiguration(
      withCascades({ ...steps, c7: "n" }),
      sha256,
    );
    const unchanged = new Set(before.map(({ ref }) => ref.sha256));
    assert.ok(before.length > 10);
    assert.equal(
      after.filter(({ ref }) => !unchanged.has(ref.sha256)).length,
      1,
    );
  });
});
