import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import type { DataCentreId, EntryId, Revision } from "../core/ids.ts";
import type { Member } from "../core/membership/member.ts";
import { MemberTable } from "../core/membership/member_table.ts";
import { unitHash } from "../runtime/hashing.ts";
import { SilentLogger } from "../runtime/logger.ts";
import type { StoreSync } from "../store/store_sync.ts";
import { FleetRelayRole } from "./fleet_relay_role.ts";

const VMS = 40;

let nowMs: number;
let direct: boolean;
let role: FleetRelayRole;
let table: MemberTable;

function member(at: number, cores = 1): Member {
  return {
    id: `vm-${at}` as EntryId,
    data_centre: (at % 2 === 0 ? "north" : "south") as DataCentreId,
    callers: "",
    peers: "",
    incarnation: 1,
    state: "alive",
    revision: 1 as Revision,
    cores,
  };
}

/** A VM too small to be a relay among all the others. */
beforeEach(() => {
  nowMs = 10_000;
  direct = true;
  table = new MemberTable(member(0, 0.1));
  role = new FleetRelayRole({
    memberTable: table,
    storeSync: {
      get direct() {
        return direct;
      },
      setDirect: (now: boolean) => direct = now,
    } as unknown as StoreSync,
    unitHash,
    clock: { monotonicMs: () => nowMs, wallMs: () => 0 },
    logger: new SilentLogger(),
  });
});

function joinAll(): void {
  const others = Array.from({ length: VMS - 1 }, (_, at) => member(at + 1));
  table.merge(others, nowMs);
}

describe("relay role", () => {
  it("should be held by a VM that knows nobody", () => {
    assert.equal(role.held, true);
    role.update();
    assert.equal(direct, true);
  });

  it("should follow a relay once it is heard, and ask the store once it is not", () => {
    joinAll();
    role.update();
    assert.equal(direct, true);
    role.heard(role.toAsk()[0]?.id as EntryId, true);
    role.update();
    assert.equal(direct, false);
    nowMs += 5_000;
    role.update();
    assert.equal(direct, true);
  });

  it("should ask relays of its own data centre first, and failed ones last", () => {
    joinAll();
    const [first, second, third] = role.toAsk();
    assert.equal(first?.data_centre, "north");
    assert.equal(second?.data_centre, "north");
    assert.equal(third?.data_centre, "south");
    role.heard(first?.id as EntryId, false);
    role.heard(second?.id as EntryId, false);
    assert.equal(role.toAsk()[0]?.data_centre, "south");
    nowMs += 10_000;
    assert.equal(role.toAsk()[0]?.id, first?.id);
  });
});
