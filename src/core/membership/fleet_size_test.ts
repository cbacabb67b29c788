import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { testMember } from "../../../tests/fixtures/test_member.ts";
import type { EntryId } from "../ids.ts";
import { FleetSize } from "./fleet_size.ts";

const SELF = "vm-0" as EntryId;
const MINUTE_MS = 60_000;

let hasOtherSeeds: boolean;
let size: FleetSize;

beforeEach(() => {
  hasOtherSeeds = true;
  size = new FleetSize({ self: SELF, hasOtherSeeds: () => hasOtherSeeds });
});

describe("size of a fleet", () => {
  it("should not be known before another VM is heard, unless there is none", () => {
    size.observe([testMember(SELF)], 0);
    assert.equal(size.count, undefined);
    hasOtherSeeds = false;
    assert.equal(size.count, 1);
  });

  it("should count VMs that were lost, as they may live on unheard", () => {
    size.observe([testMember("vm-1"), testMember("vm-2")], 0);
    const lost = testMember("vm-1", { state: "dead" });
    size.observe([lost, testMember("vm-2")], MINUTE_MS);
    assert.equal(size.count, 3);
    // Members forget the dead sooner.
    size.observe([testMember("vm-2")], 9 * MINUTE_MS);
    assert.equal(size.count, 3);
    size.observe([testMember("vm-2")], 11 * MINUTE_MS);
    assert.equal(size.count, 2);
  });

  it("should count a VM that died before this one heard of it", () => {
    size.observe([testMember("vm-1", { state: "dead" })], 0);
    assert.equal(size.count, 2);
  });

  it("should forget VMs that have left, and count those that come back", () => {
    size.observe([testMember("vm-1", { state: "leaving" })], 0);
    size.observe([testMember("vm-1", { state: "dead" })], MINUTE_MS);
    assert.equal(size.count, 2);
    size.observe([], MINUTE_MS + 1);
    assert.equal(size.count, undefined);
    size.observe([testMember("vm-1")], 2 * MINUTE_MS);
    assert.equal(size.count, 2);
  });

  it("should say that others may be there while none is heard", () => {
    assert.equal(size.isAlone, true);
    size.observe([testMember("vm-1")], 0);
    assert.equal(size.isAlone, false);
    size.observe([testMember("vm-1", { state: "dead" })], 1_000);
    assert.equal(size.isAlone, true);
    hasOtherSeeds = false;
    size.observe([], 20 * MINUTE_MS);
    assert.equal(size.isAlone, false);
  });
});
