import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { testMember } from "../../tests/fixtures/test_member.ts";
import type { DataCentreId, EntryId, Revision } from "../core/ids.ts";
import type { Member } from "../core/membership/member.ts";
import { MemberTable } from "../core/membership/member_table.ts";
import { unitHash } from "../runtime/hashing.ts";
import { SilentLogger } from "../runtime/logger.ts";
import type { StoreAccess } from "../store/store_access.ts";
import type { StoreSync } from "../store/store_sync.ts";
import { FleetRelayRole } from "./fleet_relay_role.ts";

const VMS = 40;

let nowMs: number;
let access: StoreAccess;
let storeLost: boolean;
let role: FleetRelayRole;
let table: MemberTable;

function member(at: number, cores = 1): Member {
  const dataCentre = at % 2 === 0 ? "north" : "south";
  return testMember(`vm-${at}`, {
    data_centre: dataCentre as DataCentreId,
    revision: 1 as Revision,
    cores,
  });
}

/** By default, a VM too small to be a relay among all the others. */
beforeEach(() => {
  nowMs = 10_000;
  access = "reader";
  storeLost = false;
  role = createRole(member(0, 0.1));
});

function createRole(self: Member): FleetRelayRole {
  table = new MemberTable(self);
  return new FleetRelayRole({
    memberTable: table,
    storeSync: {
      get access() {
        return access;
      },
      get storeLost() {
        return storeLost;
      },
      setAccess: (now: StoreAccess) => access = now,
    } as unknown as StoreSync,
    unitHash,
    clock: { monotonicMs: () => nowMs, wallMs: () => 0 },
    logger: new SilentLogger(),
  });
}

function joinAll(): void {
  const others = Array.from({ length: VMS - 1 }, (_, at) => member(at + 1));
  table.merge(others, nowMs);
}

describe("relay role", () => {
  it("should be relay for a VM that knows no other VM", () => {
    assert.equal(role.isRelay, true);
    role.update();
    assert.equal(access, "reader");
  });

  it("should follow a relay while it answers, and read the store otherwise", () => {
    joinAll();
    role.update();
    assert.equal(access, "stand_in");
    role.recordOutcome(role.relaysByPreference()[0]?.id as EntryId, "in_touch");
    role.update();
    assert.equal(access, "listener");
    nowMs += 5_000;
    role.update();
    assert.equal(access, "stand_in");
  });

  it("should follow two readers as a relay, and read the store once neither confirms", () => {
    // Large enough to be a relay of its data centre; larger VMs are the readers.
    role = createRole(member(0, 1.2));
    const larger = [1, 2, 3, 4].map((at) => member(at, 1.3));
    joinAll();
    table.merge(larger.map((vm) => ({ ...vm, incarnation: 2 })), nowMs);
    assert.equal(role.isRelay, false);
    table.merge([{ ...member(4), incarnation: 3 }], nowMs);
    assert.equal(role.isRelay, true);
    assert.equal(role.isReader, false);
    assert.equal(role.readersToFollow().length, 2);
    role.update();
    assert.equal(access, "stand_in");
    role.recordReaderConfirmation(nowMs - 1_000);
    role.update();
    assert.equal(access, "listener");
    nowMs += 1_500;
    role.update();
    assert.equal(access, "stand_in");
  });

  it("should try relays of its own data centre first, and failed ones last", () => {
    joinAll();
    const [first, second, third] = role.relaysByPreference();
    assert.equal(first?.data_centre, "north");
    assert.equal(second?.data_centre, "north");
    assert.equal(third?.data_centre, "south");
    role.recordOutcome(first?.id as EntryId, "silent");
    role.recordOutcome(second?.id as EntryId, "silent");
    assert.equal(role.relaysByPreference()[0]?.data_centre, "south");
    nowMs += 10_000;
    assert.equal(role.relaysByPreference()[0]?.id, first?.id);
  });

  it("should leave reading to other VMs while the store does not answer", () => {
    role = createRole(member(0, 1.3));
    joinAll();
    const largest = [1, 2, 3].map((at) => ({
      ...member(at, 1.3),
      incarnation: 2,
    }));
    table.merge(largest, nowMs);
    assert.equal(role.isReader, true);
    const others = role.readersToFollow().map(({ id }) => id);
    storeLost = true;
    role.update();
    assert.equal(access, "stand_in");
    const readers = role.readersToFollow().map(({ id }) => id);
    assert.equal(readers.length, others.length + 1);
    role.recordReaderConfirmation(nowMs);
    role.update();
    assert.equal(access, "listener");
    // The other VMs learn immediately that the store answers this VM again, and return the role to it.
    storeLost = false;
    nowMs += 400;
    role.update();
    assert.equal(access, "reader");
  });

  it("should wait longer for relays that answer but are disconnected from the store", () => {
    joinAll();
    const [relay] = role.relaysByPreference();
    role.recordOutcome(relay?.id as EntryId, "in_touch");
    nowMs += 2_000;
    role.recordOutcome(relay?.id as EntryId, "answered");
    role.update();
    assert.equal(access, "listener");
    nowMs += 1_600;
    role.update();
    assert.equal(access, "stand_in");
  });

  it("should keep reading for a while after other VMs become readers, unless the store is lost", () => {
    role = createRole(member(0, 1.3));
    joinAll();
    role.update();
    assert.equal(access, "reader");
    const larger = [2, 4, 6, 8].map((at) => ({
      ...member(at, 2),
      incarnation: 2,
    }));
    table.merge(larger, nowMs);
    assert.equal(role.isReader, false);
    role.update();
    assert.equal(access, "reader");
    nowMs += 2_500;
    role.update();
    assert.equal(access, "stand_in");
  });
});
