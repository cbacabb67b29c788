import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { unitHash } from "../../runtime/hashing.ts";
import type { Member } from "./member.ts";
import { relaysOf } from "./relay_choice.ts";

const fleet = ["qc-hall", "pasig-hall"].flatMap((data_centre) =>
  Array.from({ length: 5 }, (_, at) => ({
    id: `${data_centre}-${at}`,
    data_centre,
    state: "alive",
  } as unknown as Member))
);

function relaysSeenBy(self: Member, members = fleet): string[] {
  const others = members.filter(({ id }) => id !== self.id);
  return relaysOf(self, { members: others, unitHash }).map(({ id }) => id);
}

describe("the relays of a data centre", () => {
  test("should be the same few for all that see the same entry VMs", () => {
    const here = fleet.filter(({ data_centre }) => data_centre === "qc-hall");
    const seen = here.map((self) => relaysSeenBy(self));
    for (const relays of seen) assert.deepEqual(relays, seen[0]);
    assert.equal(seen[0]?.length, 3);
  });

  test("should be taken over when one is suspected, dead or leaving", () => {
    const [self] = fleet as [Member];
    const [first] = relaysSeenBy(self);
    for (const state of ["suspect", "leaving", "dead"] as const) {
      const members = fleet.map((member) =>
        member.id === first ? { ...member, state } : member
      );
      const me = members.find(({ id }) => id === self.id) as Member;
      assert.ok(!relaysSeenBy(me, members).includes(first as string));
    }
  });
});
