import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { testMember } from "../../tests/fixtures/test_member.ts";
import type { DataCentreId, Revision } from "../core/ids.ts";
import type { Member } from "../core/membership/member.ts";
import { MemberTable } from "../core/membership/member_table.ts";
import type { VmSettings } from "../platform/vm_settings_wire.ts";
import { unitHash } from "../runtime/hashing.ts";
import { AddressList } from "./address_list.ts";
import type { Readiness } from "./readiness.ts";

const DATA_CENTRES = ["north", "south", "west"];
const HERE = "north";
const MOST_ADDRESSES = 64;

function vmOf(at: number): Member {
  return testMember(`vm-${at}`, {
    data_centre: DATA_CENTRES[at % 3] as DataCentreId,
    callers: `${DATA_CENTRES[at % 3]}:${at}`,
    revision: 1 as Revision,
  });
}

/** What the first of so many VMs, a third in each data centre, names to callers. */
function named(vms: number, dataCentre: string, asked = 0): readonly string[] {
  const members = Array.from({ length: vms }, (_, at) => vmOf(at));
  const self = members[asked] as Member;
  const memberTable = new MemberTable(self);
  memberTable.merge(members.filter((member) => member !== self), 0);
  const list = new AddressList({
    vmSettings: {
      vm: self.id,
      bounds: { maxAddressTtlMs: 5_000 },
    } as VmSettings,
    memberTable,
    readiness: { isReady: () => true } as Readiness,
    unitHash,
  });
  return list.answer(dataCentre).addresses;
}

function nearIn(addresses: readonly string[], dataCentre: string): number {
  return addresses.filter((address) => address.startsWith(dataCentre)).length;
}

describe("list of addresses", () => {
  it("should name all VMs of a small fleet, those of the caller's data centre first", () => {
    const addresses = named(6, HERE);
    assert.equal(addresses.length, 6);
    assert.equal(nearIn(addresses.slice(0, 2), HERE), 2);
  });

  // Callers draw one of the addresses by chance. In a fleet of 85 VMs, 28 here and 36 others
  // were named, so that most requests began in another data centre.
  it("should name few VMs elsewhere where there are enough in the caller's data centre", () => {
    const addresses = named(84, HERE);
    assert.equal(nearIn(addresses, HERE), 28);
    assert.equal(addresses.length, 28 + 4);
  });

  it("should name some elsewhere however many VMs are near, and not too many in all", () => {
    const addresses = named(300, HERE);
    assert.equal(nearIn(addresses, HERE), 56);
    assert.equal(addresses.length, 56 + 7);
    assert.ok(addresses.length <= MOST_ADDRESSES);
  });

  it("should not name the same few VMs of a large fleet at each VM that is asked", () => {
    const all = new Set(
      [0, 3, 6, 9, 12, 15].flatMap((asked) => [...named(300, HERE, asked)]),
    );
    assert.ok(nearIn([...all], HERE) > 95);
  });

  it("should name all to a caller who does not say where it is", () => {
    assert.equal(named(30, "").length, 30);
  });
});
