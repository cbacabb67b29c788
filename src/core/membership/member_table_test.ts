import assert from "node:assert/strict";
import { describe, test } from "node:test";
import fc from "fast-check";
import { testMember } from "../../../tests/fixtures/test_member.ts";
import type { EntryId, Revision, ServiceId } from "../ids.ts";
import type { Member, MemberState } from "./member.ts";
import { MemberTable, SUSPICION_TIMEOUT_MS } from "./member_table.ts";

function member(id: string, changes: Partial<Member> = {}): Member {
  return testMember(id, {
    callers: "127.0.0.1:1",
    peers: "127.0.0.1:2",
    ...changes,
  });
}

describe("a member table", () => {
  function stateOf(table: MemberTable, id: string): MemberState | undefined {
    return table.get(id as EntryId)?.state;
  }

  test("should give a suspect time to refute before declaring it dead", () => {
    const table = new MemberTable(member("a"));
    table.merge([member("b")], 0);
    table.suspect("b" as EntryId, 0);
    assert.deepEqual(
      table.expire(SUSPICION_TIMEOUT_MS - 1, { keepDead: false }),
      [],
    );
    table.merge([member("b", { incarnation: 2 })], SUSPICION_TIMEOUT_MS - 1);
    assert.deepEqual(
      table.expire(SUSPICION_TIMEOUT_MS * 2, { keepDead: false }),
      [],
    );
    assert.equal(stateOf(table, "b"), "alive");
  });

  test("should not advertise VMs without a configuration, unless no VM has one", () => {
    const table = new MemberTable(member("a"));
    table.merge([member("b")], 0);
    assert.deepEqual(table.advertisableMembers().map(({ id }) => id), [
      "a",
      "b",
    ]);
    table.merge([member("c", { revision: 3 as Revision })], 0);
    assert.deepEqual(table.advertisableMembers().map(({ id }) => id), ["c"]);
  });

  test("should not advertise dead and leaving VMs to callers", () => {
    const table = new MemberTable(member("a"));
    table.merge([member("b"), member("c")], 0);
    table.suspect("b" as EntryId, 0);
    table.expire(SUSPICION_TIMEOUT_MS, { keepDead: false });
    table.merge([member("c", { state: "leaving" })], 0);
    assert.deepEqual(table.advertisableMembers().map(({ id }) => id), ["a"]);
  });

  test("should not revive a dead VM by an outdated update, but by a restart", () => {
    const table = new MemberTable(member("a"));
    table.merge([member("b")], 0);
    table.suspect("b" as EntryId, 0);
    table.expire(SUSPICION_TIMEOUT_MS, { keepDead: false });
    table.merge([member("b")], SUSPICION_TIMEOUT_MS);
    assert.equal(stateOf(table, "b"), "dead");
    table.merge([member("b", { incarnation: 2 })], SUSPICION_TIMEOUT_MS);
    assert.equal(stateOf(table, "b"), "alive");
  });

  test("should refute a suspicion of itself with a higher incarnation", () => {
    const table = new MemberTable(member("a"));
    table.merge([member("a", { state: "suspect" })], 0);
    assert.equal(table.self.incarnation, 2);
    assert.equal(table.self.state, "alive");
  });

  test("should take a later revision and never go back to an earlier one", () => {
    const table = new MemberTable(member("a"));
    table.merge([member("b", { revision: 5 as Revision })], 0);
    table.merge([member("b", { revision: 4 as Revision })], 0);
    assert.equal(table.get("b" as EntryId)?.revision, 5);
    table.merge([member("b", { revision: 6 as Revision })], 0);
    assert.equal(table.get("b" as EntryId)?.revision, 6);
  });

  test("should send each update a bounded number of times", () => {
    const table = new MemberTable(member("a"));
    table.merge(Array.from({ length: 20 }, (_, at) => member(`m${at}`)), 0);
    let sent = 0;
    for (let round = 0; round < 1_000; round++) {
      sent += table.nextGossip().length - 1;
    }
    assert.equal(sent, 20 * 3 * 5);
  });

  test("should keep the latest report of lost services, in whatever order reports arrive", () => {
    const reports = [1, 2, 3].map((sequence) => ({
      sequence,
      lostServices: [`service-${sequence}`] as ServiceId[],
    }));
    const updates = reports.flatMap((reachability) => [
      member("b", { reachability }),
      member("b", { reachability, state: "suspect" }),
    ]);
    fc.assert(
      fc.property(
        fc.shuffledSubarray(updates, { minLength: updates.length }),
        (shuffled) => {
          const table = new MemberTable(member("a"));
          table.merge([member("b")], 0);
          for (const update of shuffled) table.merge([update], 0);
          assert.deepEqual(
            table.get("b" as EntryId)?.reachability,
            reports.at(-1),
          );
          // The next incarnation has lost nothing.
          table.merge([member("b", { incarnation: 9 })], 0);
          assert.equal(table.get("b" as EntryId)?.reachability, undefined);
        },
      ),
      { seed: 1 },
    );
  });

  test("should gossip a change of its own lost services", () => {
    const table = new MemberTable(member("a"));
    table.setLostServices(["llm" as ServiceId]);
    table.setLostServices([]);
    const [self] = table.nextGossip();
    assert.deepEqual(self?.reachability, { sequence: 2, lostServices: [] });
  });
});
