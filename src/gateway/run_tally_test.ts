import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Route } from "../core/routes/route.ts";
import { RunTally } from "./run_tally.ts";

const REPEATABLE = { kind: "repeatable", maxRuns: 2 } as Route;
const ONCE = { kind: "once", maxRuns: 3 } as Route;

describe("tally of runs", () => {
  it("should say that nothing has run only while nothing may have", () => {
    const tally = new RunTally();
    assert.equal(tally.noServerRefusal().tag, "no_server");
    tally.recordRefusal();
    assert.equal(tally.noServerRefusal().tag, "servers_full");
    assert.equal(tally.timeoutRefusal().tag, "expired_unsent");
    tally.recordAbandonedRun();
    assert.equal(tally.noServerRefusal().tag, "answer_lost");
    assert.equal(tally.timeoutRefusal().tag, "expired");
  });

  it("should count the run under way against those that the route allows", () => {
    const tally = new RunTally();
    assert.equal(tally.mayRetry(REPEATABLE, 1), true);
    tally.recordRun();
    assert.equal(tally.mayRetry(REPEATABLE), true);
    assert.equal(tally.mayRetry(REPEATABLE, 1), false);
    tally.recordRun();
    assert.equal(tally.mayRetry(REPEATABLE), false);
  });

  it("should never repeat what may run only once", () => {
    assert.equal(new RunTally().mayRetry(ONCE), false);
  });

  it("should stop asking servers after a few that did not run it", () => {
    const tally = new RunTally();
    const asked = [1, 2, 3, 4, 5].filter(() => tally.recordRefusal()).length +
      1;
    assert.equal(asked, 3);
  });

  it("should look for long past servers that are gone, but not past silent ones", () => {
    // A VM that is cut off from its servers tells its callers in time to go on at another one.
    const cases: [number, boolean, number][] = [
      [1, true, 100],
      [1, false, 3],
      [400, true, 3],
    ];
    for (const [tookMs, hasSound, asked] of cases) {
      const tally = new RunTally();
      let further = 0;
      while (further < 100 && tally.recordUnsent({ tookMs, hasSound })) {
        further += 1;
      }
      assert.equal(further, asked);
    }
  });

  it("should ask one server a round once it has waited, and not wait without end", () => {
    const tally = new RunTally();
    tally.recordRun();
    assert.equal(tally.recordRefusal(), true);
    assert.equal(tally.recordWait(), true);
    assert.equal(tally.recordRefusal(), false);
    let waits = 1;
    while (tally.recordWait()) waits += 1;
    assert.equal(waits, 8);
  });

  it("should count refusals anew for each run", () => {
    const tally = new RunTally();
    tally.recordRefusal();
    tally.recordRefusal();
    tally.recordRun();
    assert.equal(tally.recordRefusal(), true);
  });

  it("should wait for the end of a rest that comes in time, however long", () => {
    const tally = new RunTally();
    for (let opensInMs = 3_000; opensInMs > 0; opensInMs -= 250) {
      assert.equal(
        tally.nextWaitMs({ opensInMs, leftMs: 4_000, owed: true }),
        250,
      );
    }
    assert.equal(
      tally.nextWaitMs({ opensInMs: 40, leftMs: 1_000, owed: true }),
      40,
    );
    // What comes too late is waited for no longer than what nobody knows of.
    const late = { opensInMs: 3_000, leftMs: 2_000, owed: true };
    let waits = 0;
    while (tally.nextWaitMs(late) !== undefined) waits += 1;
    assert.equal(waits, 8);
  });

  it("should wait for a lost run only as long as its servers tell, where none is owed", () => {
    const tally = new RunTally();
    const soon = { opensInMs: 300, leftMs: 2_000, owed: false };
    assert.equal(tally.nextWaitMs(soon), undefined);
    tally.recordRun();
    assert.equal(tally.nextWaitMs(soon), 250);
    assert.equal(
      tally.nextWaitMs({ ...soon, opensInMs: undefined }),
      undefined,
    );
    assert.equal(tally.nextWaitMs({ ...soon, leftMs: 200 }), undefined);
  });
});
