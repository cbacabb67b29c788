import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { EntryId } from "../ids.ts";
import { turnOf } from "./turn.ts";

const VMS = ["edge-2", "edge-1", "edge-3"] as EntryId[];

function turns(
  lost: readonly string[],
  readers: readonly EntryId[] = [],
): Record<string, number> {
  const hasLostStore = (vm: EntryId) => lost.includes(vm);
  const terms = { alive: VMS, readers, hasLostStore };
  return Object.fromEntries(
    VMS.map((self) => [self, turnOf({ self, ...terms })]),
  );
}

describe("turn of a VM", () => {
  it("should follow the names", () => {
    assert.deepEqual(turns([]), { "edge-1": 0, "edge-2": 1, "edge-3": 2 });
  });

  it("should come first for readers of the store, in their order", () => {
    const readers = ["edge-3", "edge-2", "edge-gone"] as EntryId[];
    const expected = { "edge-3": 0, "edge-2": 1, "edge-1": 2 };
    assert.deepEqual(turns([], readers), expected);
    const cutOff = { "edge-2": 0, "edge-1": 1, "edge-3": 2 };
    assert.deepEqual(turns(["edge-3"], readers), cutOff);
  });

  it("should come last for VMs that the store does not answer", () => {
    const expected = { "edge-2": 0, "edge-3": 1, "edge-1": 2 };
    assert.deepEqual(turns(["edge-1"]), expected);
  });

  it("should follow the names where the store answers nobody", () => {
    assert.deepEqual(turns(VMS), { "edge-1": 0, "edge-2": 1, "edge-3": 2 });
  });

  it("should come after all others for a VM that is not alive", () => {
    const self = "edge-9" as EntryId;
    assert.equal(
      turnOf({ self, alive: VMS, readers: [], hasLostStore: () => false }),
      VMS.length,
    );
  });
});
