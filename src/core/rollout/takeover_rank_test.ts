import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { EntryId } from "../ids.ts";
import { takeoverRank } from "./takeover_rank.ts";

const VMS = ["edge-2", "edge-1", "edge-3"] as EntryId[];

function ranks(
  disconnected: readonly string[],
  readers: readonly EntryId[] = [],
): Record<string, number> {
  const hasLostStore = (vm: EntryId) => disconnected.includes(vm);
  const input = { alive: VMS, readers, hasLostStore };
  return Object.fromEntries(
    VMS.map((self) => [self, takeoverRank({ self, ...input })]),
  );
}

describe("takeover rank", () => {
  it("should follow the names", () => {
    assert.deepEqual(ranks([]), { "edge-1": 0, "edge-2": 1, "edge-3": 2 });
  });

  it("should rank readers of the store first, in their order", () => {
    const readers = ["edge-3", "edge-2", "edge-gone"] as EntryId[];
    const expected = { "edge-3": 0, "edge-2": 1, "edge-1": 2 };
    assert.deepEqual(ranks([], readers), expected);
    const cutOff = { "edge-2": 0, "edge-1": 1, "edge-3": 2 };
    assert.deepEqual(ranks(["edge-3"], readers), cutOff);
  });

  it("should rank VMs without a connection to the store last", () => {
    const expected = { "edge-2": 0, "edge-3": 1, "edge-1": 2 };
    assert.deepEqual(ranks(["edge-1"]), expected);
  });

  it("should follow the names if no VM has a connection to the store", () => {
    assert.deepEqual(ranks(VMS), { "edge-1": 0, "edge-2": 1, "edge-3": 2 });
  });

  it("should rank a VM that is not alive after all others", () => {
    const self = "edge-9" as EntryId;
    assert.equal(
      takeoverRank({
        self,
        alive: VMS,
        readers: [],
        hasLostStore: () => false,
      }),
      VMS.length,
    );
  });
});
