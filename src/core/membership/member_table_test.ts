import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { testMember } from "../../../tests/fixtures/test_member.ts";
import type { EntryId, Revision } from "../ids.ts";
import type { Member, MemberState } from "./member.ts";
import { MemberTable, SUSPICION_MS } from "./member_table.ts";

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

  test("should give a suspect time to refute before it is dead", () => {
    const table = new MemberTable(member("a"));
    table.merge([member("b")], 0);
    table.suspect("b" as EntryId, 0);
    assert.deepEqual(table.expire(SUSPICION_MS - 1, { keepDead: false }), []);
    table.merge([member("b", { incarnation: 2 })], SUSPICION_MS - 1);
    assert.deepEqual(table.expire(SUSPICION_MS * 2, { keepDead: false }), []);
    assert.equal(stateOf(table, "b"), "alive");
  });

  test("should not name those without a configuration, unless all are so", () => {
    const table = new MemberTable(member("a"));
    table.merge([member("b")], 0);
    assert.deepEqual(table.callable().map(({ id }) => id), ["a", "b"]);
    table.merge([member("c", { revision: 3 as Revision })], 0);
    assert.deepEqual(table.callable().map(({ id }) => id), ["c"]);
  });

  test("should not name the dead and the leaving to callers", () => {
    const table = new MemberTable(member("a"));
    table.merge([member("b"), member("c")], 0);
    table.suspect("b" as EntryId, 0);
    table.expire(SUSPICION_MS, { keepDead: false });
    table.merge([member("c", { state: "leaving" })], 0);
    assert.deepEqual(table.callable().map(({ id }) => id), ["a"]);
  });

  test("should not be revived by old news, but by a restart", () => {
    const table = new MemberTable(member("a"));
    table.merge([member("b")], 0);
    table.suspect("b" as EntryId, 0);
    table.expire(SUSPICION_MS, { keepDead: false });
    table.merge([member("b")], SUSPICION_MS);
    assert.equal(stateOf(table, "b"), "dead");
    table.merge([member("b", { incarnation: 2 })], SUSPICION_MS);
    assert.equal(stateOf(table, "b"), "alive");
  });

  test("should refute a suspicion of itself with a higher incarnation", () => {
    const table = new MemberTable(member("a"));
    table.merge([member("a", { state: "suspect" })], 0);
    assert.equal(table.self.incarnation, 2);
    assert.equal(table.self.state, "alive");
  });

  test("should learn a later revision and never go back to an earlier one", () => {
    const table = new MemberTable(member("a"));
    table.merge([member("b", { revision: 5 as Revision })], 0);
    table.merge([member("b", { revision: 4 as Revision })], 0);
    assert.equal(table.get("b" as EntryId)?.revision, 5);
    table.merge([member("b", { revision: 6 as Revision })], 0);
    assert.equal(table.get("b" as EntryId)?.revision, 6);
  });

  test("should tell each piece of news a bounded number of times", () => {
    const table = new MemberTable(member("a"));
    table.merge(Array.from({ length: 20 }, (_, at) => member(`m${at}`)), 0);
    let told = 0;
    for (let round = 0; round < 1_000; round++) {
      told += table.newsToTell().length - 1;
    }
    assert.equal(told, 20 * 3 * 5);
  });
});
