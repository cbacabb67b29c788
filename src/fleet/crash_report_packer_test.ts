import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Crash } from "../core/crashes/crash.ts";
import type { PartKey, RequestKey, ServerIncarnation } from "../core/ids.ts";
import { digestSchema } from "../protocol/digest_schema.ts";
import { packCrashes } from "./crash_report_packer.ts";

const NOW_MS = 100_000;
/** Largest message that a VM accepts. */
const MAX_MESSAGE_BYTES = 1_024 * 1_024;
/** Most prompt parts that the largest header of a request holds. */
const MOST_PARTS = 1_800;

function crash(n: number, parts: number): Crash {
  return {
    request: `r-${n}` as RequestKey,
    parts: Array.from(
      { length: parts },
      (_, at) => `model-service/${n}-${at}`.padEnd(60, "x") as PartKey,
    ),
    account: undefined,
    life: `i-${n}` as ServerIncarnation,
    address: `10.0.0.${n}:80`,
    after: ["i-0" as ServerIncarnation],
    beganMs: NOW_MS - 20,
    endedMs: NOW_MS - n,
    serviceSize: 8,
  };
}

/** Packs crashes, and checks that the program of any VM accepts the result. */
function pack(crashes: readonly Crash[], round = 1) {
  const ends = packCrashes(crashes, { nowMs: NOW_MS, round });
  const crashSchema = digestSchema.shape.crashes;
  crashSchema.parse({ ends, goodEnds: [], completions: [] });
  return ends;
}

describe("packed crash reports", () => {
  // Guards against BUDGET: only the first 64 parts of a request were told to other VMs.
  it("should hold all parts of a request, in entries that every VM accepts", () => {
    const one = crash(1, MOST_PARTS);
    const entries = pack([one]);
    assert.deepEqual(
      entries.flatMap(({ parts }) => parts).sort(),
      [...one.parts].sort(),
    );
    assert.ok(
      entries.every(({ request, life }) =>
        request === one.request && life === one.life
      ),
    );
  });

  it("should hold a crash without parts", () => {
    assert.deepEqual(pack([crash(1, 0)]).map(({ parts }) => parts), [[]]);
  });

  it("should stay below the largest message, with a share of each crash", () => {
    const crashes = Array.from({ length: 50 }, (_, n) => crash(n, MOST_PARTS));
    const entries = pack(crashes);
    assert.ok(JSON.stringify(entries).length < MAX_MESSAGE_BYTES);
    assert.equal(new Set(entries.map(({ life }) => life)).size, 50);
  });

  it("should hold other parts in each round if not all fit", () => {
    const crashes = Array.from({ length: 10 }, (_, n) => crash(n, MOST_PARTS));
    const told = new Set<string>();
    for (let round = 1; round <= 29; round++) {
      for (const { parts } of pack(crashes, round)) {
        for (const part of parts) told.add(part);
      }
    }
    assert.equal(told.size, 10 * MOST_PARTS);
  });
});
