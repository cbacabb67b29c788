import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { testMember } from "../../tests/fixtures/test_member.ts";
import type { DataCentreId, Revision, ServiceId } from "../core/ids.ts";
import type { Member } from "../core/membership/member.ts";
import { MemberTable } from "../core/membership/member_table.ts";
import type { VmSettings } from "../platform/vm_settings_wire.ts";
import { unitHash } from "../runtime/hashing.ts";
import { AddressList } from "./address_list.ts";
import type { Readiness } from "./readiness.ts";

const DATA_CENTRES = ["north", "south", "west"];
const LOCAL = "north";
const MAX_ADDRESSES = 64;

function vmOf(at: number): Member {
  return testMember(`vm-${at}`, {
    data_centre: DATA_CENTRES[at % 3] as DataCentreId,
    callers: `${DATA_CENTRES[at % 3]}:${at}`,
    revision: 1 as Revision,
  });
}

/** The same VM after it has lost services. */
function withoutServices(vm: Member, services: readonly string[]): Member {
  const lostServices = services as ServiceId[];
  return { ...vm, reachability: { sequence: 1, lostServices } };
}

/** Addresses of 7 VMs of which some have lost services, by the position of the VM. */
function addressesWithLost(
  lost: Readonly<Record<number, readonly string[]>>,
): readonly string[] {
  const members = Array.from(
    { length: 7 },
    (_, at) => withoutServices(vmOf(at), lost[at] ?? []),
  );
  return listOf(members, members[0] as Member).answer(LOCAL).addresses;
}

/** Addresses that VM `vm` returns in a fleet with a third of its VMs in each data centre. */
function addressesFrom(
  vms: number,
  dataCentre: string,
  vm = 0,
): readonly string[] {
  const members = Array.from({ length: vms }, (_, at) => vmOf(at));
  return listOf(members, members[vm] as Member).answer(dataCentre).addresses;
}

function listOf(members: readonly Member[], self: Member): AddressList {
  const memberTable = new MemberTable(self);
  memberTable.merge(members.filter((member) => member !== self), 0);
  return new AddressList({
    vmSettings: {
      vm: self.id,
      bounds: { maxAddressTtlMs: 5_000 },
    } as VmSettings,
    memberTable,
    readiness: { isReady: () => true } as Readiness,
    unitHash,
  });
}

function countIn(addresses: readonly string[], dataCentre: string): number {
  return addresses.filter((address) => address.startsWith(dataCentre)).length;
}

describe("AddressList", () => {
  it("should list all VMs of a small fleet, those of the caller's data centre first", () => {
    const addresses = addressesFrom(6, LOCAL);
    assert.equal(addresses.length, 6);
    assert.equal(countIn(addresses.slice(0, 2), LOCAL), 2);
  });

  // Callers pick one of the addresses at random. In a fleet of 85 VMs, 28 local and 36 remote
  // addresses were listed, so that most requests began in another data centre.
  it("should list few remote VMs if there are enough in the caller's data centre", () => {
    const addresses = addressesFrom(84, LOCAL);
    assert.equal(countIn(addresses, LOCAL), 28);
    assert.equal(addresses.length, 28 + 4);
  });

  it("should list some remote VMs however many are local, within the maximum", () => {
    const addresses = addressesFrom(300, LOCAL);
    assert.equal(countIn(addresses, LOCAL), 56);
    assert.equal(addresses.length, 56 + 7);
    assert.ok(addresses.length <= MAX_ADDRESSES);
  });

  it("should list different VMs of a large fleet depending on the VM queried", () => {
    const all = new Set(
      [0, 3, 6, 9, 12, 15].flatMap((vm) => [...addressesFrom(300, LOCAL, vm)]),
    );
    assert.ok(countIn([...all], LOCAL) > 95);
  });

  it("should list all VMs to a caller that does not specify its data centre", () => {
    assert.equal(addressesFrom(30, "").length, 30);
  });

  it("should leave out VMs without links to servers while most others have them", () => {
    const few = addressesWithLost({ 2: ["llm"], 4: ["llm", "tracker"] });
    assert.equal(few.length, 5);
    assert.ok(!few.some((address) => /:[24]$/.test(address)));
    const most = { 1: ["llm"], 2: ["llm"], 4: ["llm"], 6: ["llm"] };
    assert.equal(addressesWithLost(most).length, 7);
  });

  it("should not leave out VMs for a service that all of them have lost", () => {
    const all = { 0: ["llm"], 1: ["llm"], 2: ["llm"], 3: ["llm"], 4: ["llm"] };
    assert.equal(
      addressesWithLost({ ...all, 5: ["llm"], 6: ["llm"] }).length,
      7,
    );
  });
});
