import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { unitHash } from "../../runtime/hashing.ts";
import type { DataCentreId, EntryId, Revision } from "../ids.ts";
import { fleetRelays } from "./fleet_relays.ts";
import type { Member } from "./member.ts";

function fleetOf(count: number, changes: Partial<Member> = {}): Member[] {
  return Array.from({ length: count }, (_, at) => ({
    id: `vm-${at}` as EntryId,
    data_centre: (at % 2 === 0 ? "north" : "south") as DataCentreId,
    callers: "",
    peers: "",
    incarnation: 1,
    state: "alive" as const,
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
