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
  it("should be unknown until another VM is seen, unless no other VM is configured", () => {
    size.observe([testMember(SELF)], 0);
    assert.equal(size.count, undefined);
    hasOtherSeeds = false;
    assert.equal(size.count, 1);
  });

  it("should count unreachable VMs, as they may still run", () => {
    size.observe([testMember("vm-1"), testMember("vm-2")], 0);
    const dead = testMember("vm-1", { state: "dead" });
    size.observe([dead, testMember("vm-2")], MINUTE_MS);
    assert.equal(size.count, 3);
    // The member table removes dead VMs earlier.
    size.observe([testMember("vm-2")], 9 * MINUTE_MS);
    assert.equal(size.count, 3);
    size.observe([testMember("vm-2")], 11 * MINUTE_MS);
    assert.equal(size.count, 2);
  });

  it("should count a VM that was already dead when first seen", () => {
    size.observe([testMember("vm-1", { state: "dead" })], 0);
    assert.equal(size.count, 2);
  });

  it("should stop counting VMs that left, and count them again when they return", () => {
    size.observe([testMember("vm-1", { state: "leaving" })], 0);
    size.observe([testMember("vm-1", { state: "dead" })], MINUTE_MS);
    assert.equal(size.count, 2);
    size.observe([], MINUTE_MS + 1);
    assert.equal(size.count, undefined);
    size.observe([testMember("vm-1")], 2 * MINUTE_MS);
    assert.equal(size.count, 2);
  });

  it("should report isolation while other VMs may exist and none is reachable", () => {
    assert.equal(size.isIsolated, true);
    size.observe([testMember("vm-1")], 0);
    assert.equal(size.isIsolated, false);
    size.observe([testMember("vm-1", { state: "dead" })], 1_000);
    assert.equal(size.isIsolated, true);
    hasOtherSeeds = false;
    size.observe([], 20 * MINUTE_MS);
    assert.equal(size.isIsolated, false);
  });
});
