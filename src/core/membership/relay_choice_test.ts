import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { unitHash } from "../../runtime/hashing.ts";
import type { Member } from "./member.ts";
import { selectRelays } from "./relay_choice.ts";

const fleet = ["qc-hall", "pasig-hall"].flatMap((data_centre) =>
  Array.from({ length: 5 }, (_, at) => ({
    id: `${data_centre}-${at}`,
    data_centre,
    state: "alive",
  } as unknown as Member))
);

function relaysSelectedBy(self: Member, members = fleet): string[] {
  const others = members.filter(({ id }) => id !== self.id);
  return selectRelays(self, { members: others, unitHash }).map(({ id }) => id);
}

describe("the relays of a data centre", () => {
  test("should be the same few on all entry VMs with the same view", () => {
    const local = fleet.filter(({ data_centre }) => data_centre === "qc-hall");
    const selections = local.map((self) => relaysSelectedBy(self));
    for (const relays of selections) assert.deepEqual(relays, selections[0]);
    assert.equal(selections[0]?.length, 3);
  });

  test("should exclude a suspected, dead or leaving entry VM", () => {
    const [self] = fleet as [Member];
    const [first] = relaysSelectedBy(self);
    for (const state of ["suspect", "leaving", "dead"] as const) {
      const members = fleet.map((member) =>
        member.id === first ? { ...member, state } : member
      );
      const me = members.find(({ id }) => id === self.id) as Member;
      assert.ok(!relaysSelectedBy(me, members).includes(first as string));
    }
  });
});
