import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { ObjectContent } from "./object_store.ts";
import { decodeRollOut, normalizeRollOut } from "./roll_out_wire.ts";

const SPEC = { Service: "tracker", TargetVersion: "v2", DeadlineS: 60 };
const STATUS = { State: "in_progress", TargetVersion: "v2" };
const ROLL_OUTS: readonly ObjectContent[] = [
  { spec: SPEC, status: null },
  { spec: SPEC, status: undefined },
  { spec: { ...SPEC, Odd: [1] }, status: { ...STATUS, Odd: [1] } },
  { spec: SPEC, status: {} },
  { spec: SPEC, status: { State: "paused" } },
  { spec: { ...SPEC, DeadlineS: -1 }, status: STATUS },
  { spec: null, status: null },
];

describe("normalizeRollOut", () => {
  // Guards against VMs that decode what another VM sends them differently from what the store holds.
  it("should keep what is decoded, also when sent to another VM, and nothing else", () => {
    for (const content of ROLL_OUTS) {
      const sent = JSON.parse(JSON.stringify(normalizeRollOut(content)));
      assert.deepEqual(Object.keys(sent), ["spec", "status"]);
      assert.equal("Odd" in (sent.spec ?? {}), false);
      assert.equal("Odd" in (sent.status ?? {}), false);
      const expected = decodeRollOut("tracker", content);
      const decoded = decodeRollOut("tracker", sent);
      assert.equal(decoded.ok, expected.ok);
      if (decoded.ok && expected.ok) {
        assert.deepEqual(decoded.value, expected.value);
      }
    }
  });
});
