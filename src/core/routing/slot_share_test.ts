import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { testMember } from "../../../tests/fixtures/test_member.ts";
import { unitHash } from "../../runtime/hashing.ts";
import type { InstanceId } from "../ids.ts";
import { MemberTable } from "../membership/member_table.ts";
import { SlotShare } from "./slot_share.ts";

const MAX_VMS = 60;

describe("slots of a server that VMs share", () => {
  it("should add up to the server's slots over all VMs that know each other", () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: MAX_VMS }),
        fc.integer({ min: 0, max: 200 }),
        fc.string(),
        (vms, slots, name) => {
          const members = Array.from(
            { length: vms },
            (_, at) => testMember(`vm-${at}`),
          );
          const shares = members.map((self) => {
            const memberTable = new MemberTable(self);
            memberTable.merge(members.filter((one) => one !== self), 0);
            const instance = name as InstanceId;
            return new SlotShare({ memberTable, unitHash })
              .of({ instance, slots });
          });
          const sum = shares.reduce((total, one) => total + one.ownSlots, 0);
          assert.equal(sum, slots);
          assert.ok(shares.every((one) => one.vms === vms));
        },
      ),
      { seed: 1, numRuns: 60 },
    );
  });
});
