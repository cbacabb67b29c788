import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { EntryId, Revision } from "../ids.ts";
import { WitnessLog } from "./witness_log.ts";

const revision = (n: number) => n as Revision;
const roster = (...names: string[]) => names as EntryId[];

function logOf(statements: readonly [string, number, number][]): WitnessLog {
  const log = new WitnessLog();
  for (const [name, held, atMs] of statements) {
    log.record({ entry: name as EntryId, revision: revision(held) }, atMs);
  }
  return log;
}

describe("witness log", () => {
  it("should date a confirmation by the majority's oldest statement", () => {
    const log = logOf([["a", 1, 300], ["b", 1, 100], ["c", 1, 200]]);
    assert.equal(log.confirmedAtMs([roster("a", "b", "c")], revision(1)), 200);
  });

  it("should not confirm if half of a roster made no statement", () => {
    const log = logOf([["a", 1, 300], ["b", 1, 100]]);
    const evenRoster = roster("a", "b", "c", "d");
    assert.equal(log.confirmedAtMs([evenRoster], revision(1)), undefined);
  });

  it("should not count a witness for a revision earlier than the one that it holds", () => {
    const log = logOf([["a", 1, 300], ["b", 2, 200]]);
    assert.equal(log.confirmedAtMs([roster("a", "b")], revision(1)), undefined);
    assert.equal(log.confirmedAtMs([roster("a", "b")], revision(2)), 200);
  });

  it("should require a majority of each roster", () => {
    const log = logOf([["a", 1, 300], ["b", 1, 200], ["c", 1, 100]]);
    const rosters = [roster("a", "b"), roster("c")];
    assert.equal(log.confirmedAtMs(rosters, revision(1)), 100);
    assert.equal(log.confirmedAtMs([], revision(1)), undefined);
  });

  it("should keep the latest statement, in any order of arrival", () => {
    const log = logOf([["a", 2, 300], ["a", 1, 200]]);
    assert.equal(log.confirmedAtMs([roster("a")], revision(1)), undefined);
    assert.equal(log.confirmedAtMs([roster("a")], revision(2)), 300);
  });
});
