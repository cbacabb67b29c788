import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { testMember } from "../../../tests/fixtures/test_member.ts";
import { unitHash } from "../../runtime/hashing.ts";
import type { DataCentreId, EntryId, Revision } from "../ids.ts";
import {
  rankReaders,
  selectFleetRelays,
  selectStoreReaders,
} from "./fleet_relays.ts";
import type { Member } from "./member.ts";

function fleetOf(count: number, changes: Partial<Member> = {}): Member[] {
  return Array.from({ length: count }, (_, at) =>
    testMember(`vm-${at}`, {
      data_centre: (at % 2 === 0 ? "north" : "south") as DataCentreId,
      revision: 1 as Revision,
      cores: 0.3,
      ...changes,
    }));
}

function relaysIn(members: readonly Member[]): string[] {
  return selectFleetRelays(members, { dataCentre: "north", unitHash })
    .map(({ id }) => id);
}

describe("fleet relays", () => {
  it("should be all VMs of a small fleet", () => {
    assert.equal(relaysIn(fleetOf(12)).length, 6);
  });

  it("should be a few VMs of the given data centre in a large fleet", () => {
    const members = fleetOf(80);
    const relays = relaysIn(members);
    assert.equal(relays.length, 4);
    const north = members.filter(({ data_centre }) => data_centre === "north");
    const names = new Set<string>(north.map(({ id }) => id));
    assert.ok(relays.every((id) => names.has(id)));
  });

  it("should be the VMs with the most cores, in any order of the members", () => {
    const members = fleetOf(40).map((member, at) =>
      at === 6 || at === 30 ? { ...member, cores: 1.3 } : member
    );
    assert.deepEqual(relaysIn(members).sort(), ["vm-30", "vm-6"]);
    assert.deepEqual(
      relaysIn([...members].reverse()).sort(),
      ["vm-30", "vm-6"],
    );
  });

  it("should exclude leaving VMs", () => {
    const members = fleetOf(40);
    const [first] = relaysIn(members);
    const without = members.map((member) =>
      member.id === first ? { ...member, state: "leaving" as const } : member
    );
    assert.ok(!relaysIn(without).includes(first ?? ""));
  });
});

describe("readers of the store", () => {
  const readersIn = (
    members: readonly Member[],
    cannotReachStore: (vm: EntryId) => boolean = () => false,
  ) => selectStoreReaders(rankReaders(members, { unitHash }), cannotReachStore);

  it("should be all VMs of a small fleet", () => {
    assert.equal(readersIn(fleetOf(12)).length, 12);
  });

  it("should be a few relays in different data centres for any large fleet size", () => {
    for (const [vms, readers] of [[13, 2], [91, 2], [195, 4], [390, 7]]) {
      const members = fleetOf(vms as number);
      const selected = readersIn(members);
      assert.equal(selected.length, readers);
      const relays = ["north", "south"].flatMap((dataCentre) =>
        selectFleetRelays(members, { dataCentre, unitHash })
      );
      assert.ok(selected.every((reader) => relays.includes(reader)));
      const dataCentres = new Set(
        selected.map(({ data_centre }) => data_centre),
      );
      assert.equal(dataCentres.size, 2);
    }
  });

  it("should be the same on VMs that list the members in a different order", () => {
    const members = fleetOf(91);
    const ids = (fleet: readonly Member[]) =>
      readersIn(fleet).map(({ id }) => id);
    assert.deepEqual(ids([...members].reverse()), ids(members));
  });

  it("should replace a suspected VM", () => {
    const members = fleetOf(91);
    const [first] = readersIn(members);
    const without = members.map((member) =>
      member === first ? { ...member, state: "suspect" as const } : member
    );
    const ids = readersIn(without).map(({ id }) => id);
    assert.equal(ids.length, 2);
    assert.ok(first !== undefined && !ids.includes(first.id));
  });

  it("should be other relays if the current readers cannot reach the store", () => {
    const members = fleetOf(91);
    const unreachable = new Set<EntryId>(
      readersIn(members).map(({ id }) => id),
    );
    const selected = readersIn(members, (vm) => unreachable.has(vm));
    assert.equal(selected.length, 2);
    assert.ok(selected.every(({ id }) => !unreachable.has(id)));
  });

  it("should be other VMs if no relay can reach the store", () => {
    const members = fleetOf(20);
    const relays = ["north", "south"].flatMap((dataCentre) =>
      selectFleetRelays(members, { dataCentre, unitHash })
    );
    const unreachable = new Set<EntryId>(relays.map(({ id }) => id));
    const selected = readersIn(members, (vm) => unreachable.has(vm));
    assert.equal(selected.length, 2);
    assert.ok(selected.every(({ id }) => !unreachable.has(id)));
  });

  it("should be the highest-ranked relays if no VM can reach the store", () => {
    const members = fleetOf(91);
    assert.deepEqual(readersIn(members, () => true), readersIn(members));
  });
});
