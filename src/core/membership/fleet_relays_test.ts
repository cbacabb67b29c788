import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { testMember } from "../../../tests/fixtures/test_member.ts";
import { unitHash } from "../../runtime/hashing.ts";
import type { DataCentreId, EntryId, Revision } from "../ids.ts";
import { fleetRelays, rankReaders, storeReaders } from "./fleet_relays.ts";
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
  return fleetRelays(members, { dataCentre: "north", unitHash })
    .map(({ id }) => id);
}

describe("fleet relays", () => {
  it("should be all VMs of a small fleet", () => {
    assert.equal(relaysIn(fleetOf(12)).length, 6);
  });

  it("should be few VMs of a large fleet, of the data centre asked for", () => {
    const members = fleetOf(80);
    const relays = relaysIn(members);
    assert.equal(relays.length, 4);
    const north = members.filter(({ data_centre }) => data_centre === "north");
    const names = new Set<string>(north.map(({ id }) => id));
    assert.ok(relays.every((id) => names.has(id)));
  });

  it("should be the largest VMs, whatever the order in which they are known", () => {
    const members = fleetOf(40).map((member, at) =>
      at === 6 || at === 30 ? { ...member, cores: 1.3 } : member
    );
    assert.deepEqual(relaysIn(members).sort(), ["vm-30", "vm-6"]);
    assert.deepEqual(
      relaysIn([...members].reverse()).sort(),
      ["vm-30", "vm-6"],
    );
  });

  it("should leave out VMs that are suspected or leave", () => {
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
    hasLostStore: (vm: EntryId) => boolean = () => false,
  ) => storeReaders(rankReaders(members, { unitHash }), hasLostStore);

  it("should be all VMs of a small fleet", () => {
    assert.equal(readersIn(fleetOf(12)).length, 12);
  });

  it("should be relays in different data centres, few however large the fleet", () => {
    for (const [vms, readers] of [[13, 2], [91, 2], [195, 4], [390, 7]]) {
      const members = fleetOf(vms as number);
      const chosen = readersIn(members);
      assert.equal(chosen.length, readers);
      const relays = ["north", "south"].flatMap((dataCentre) =>
        fleetRelays(members, { dataCentre, unitHash })
      );
      assert.ok(chosen.every((reader) => relays.includes(reader)));
      const places = new Set(chosen.map(({ data_centre }) => data_centre));
      assert.equal(places.size, 2);
    }
  });

  it("should be chosen alike by VMs that know each other in another order", () => {
    const members = fleetOf(91);
    const ids = (known: readonly Member[]) =>
      readersIn(known).map(({ id }) => id);
    assert.deepEqual(ids([...members].reverse()), ids(members));
  });

  it("should be others once one is suspected", () => {
    const members = fleetOf(91);
    const [first] = readersIn(members);
    const without = members.map((member) =>
      member === first ? { ...member, state: "suspect" as const } : member
    );
    const ids = readersIn(without).map(({ id }) => id);
    assert.equal(ids.length, 2);
    assert.ok(first !== undefined && !ids.includes(first.id));
  });

  it("should be others where the store answers only some", () => {
    const members = fleetOf(91);
    const lost = new Set<EntryId>(readersIn(members).map(({ id }) => id));
    const chosen = readersIn(members, (vm) => lost.has(vm));
    assert.equal(chosen.length, 2);
    assert.ok(chosen.every(({ id }) => !lost.has(id)));
  });

  it("should be other VMs where the store answers no relay", () => {
    const members = fleetOf(20);
    const relays = ["north", "south"].flatMap((dataCentre) =>
      fleetRelays(members, { dataCentre, unitHash })
    );
    const lost = new Set<EntryId>(relays.map(({ id }) => id));
    const chosen = readersIn(members, (vm) => lost.has(vm));
    assert.equal(chosen.length, 2);
    assert.ok(chosen.every(({ id }) => !lost.has(id)));
  });

  it("should be the first of all where the store answers none", () => {
    const members = fleetOf(91);
    assert.deepEqual(readersIn(members, () => true), readersIn(members));
  });
});
