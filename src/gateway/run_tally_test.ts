import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Route } from "../core/routes/route.ts";
import { DispatchRecord } from "./dispatch_record.ts";
import { RunTally } from "./run_tally.ts";

const REPEATABLE = { kind: "repeatable", maxRuns: 2 } as Route;
const ONCE = { kind: "once", maxRuns: 3 } as Route;

describe("run tally", () => {
  it("should report that nothing ran only while nothing may have run", () => {
    const dispatches = new DispatchRecord();
    const tally = new RunTally(dispatches);
    assert.equal(tally.noServerRefusal().tag, "no_server");
    tally.recordRefusal();
    assert.equal(tally.noServerRefusal().tag, "servers_full");
    assert.equal(tally.timeoutRefusal().tag, "expired_unsent");
    const dispatch = dispatches.prepare();
    dispatch.begin();
    assert.equal(tally.noServerRefusal().tag, "answer_lost");
    assert.equal(tally.timeoutRefusal().tag, "expired");
    dispatch.confirmNotRun();
    assert.equal(tally.noServerRefusal().tag, "servers_full");
    assert.equal(tally.timeoutRefusal().tag, "expired_unsent");
  });

  it("should count the run in flight towards the runs that the route allows", () => {
    const tally = new RunTally(new DispatchRecord());
    assert.equal(tally.mayRetry(REPEATABLE, 1), true);
    tally.recordRun();
    assert.equal(tally.mayRetry(REPEATABLE), true);
    assert.equal(tally.mayRetry(REPEATABLE, 1), false);
    tally.recordRun();
    assert.equal(tally.mayRetry(REPEATABLE), false);
  });

  it("should never retry a request that may run only once", () => {
    assert.equal(new RunTally(new DispatchRecord()).mayRetry(ONCE), false);
  });

  it("should stop after three servers did not run the request", () => {
    const tally = new RunTally(new DispatchRecord());
    const asked = [1, 2, 3, 4, 5].filter(() => tally.recordRefusal()).length +
      1;
    assert.equal(asked, 3);
  });

  it("should try more servers if they refuse connections than if connections time out", () => {
    // A VM that is cut off from its servers refuses requests in time for a retry at another VM.
    const cases: [number, boolean, number][] = [
      [1, true, 100],
      [1, false, 3],
      [400, true, 3],
    ];
    for (const [tookMs, hasSound, asked] of cases) {
      const tally = new RunTally(new DispatchRecord());
      let n = 0;
      while (n < 100 && tally.recordUnsent({ tookMs, hasSound })) n += 1;
      assert.equal(n, asked);
    }
  });

  it("should try one server per round after a wait, and limit the number of waits", () => {
    const tally = new RunTally(new DispatchRecord());
    tally.recordRun();
    assert.equal(tally.recordRefusal(), true);
    assert.equal(tally.recordWait(), true);
    assert.equal(tally.recordRefusal(), false);
    let waits = 1;
    while (tally.recordWait()) waits += 1;
    assert.equal(waits, 8);
  });

  it("should reset the refusal count after each run", () => {
    const tally = new RunTally(new DispatchRecord());
    tally.recordRefusal();
    tally.recordRefusal();
    tally.recordRun();
    assert.equal(tally.recordRefusal(), true);
  });

  it("should wait for a backoff that ends before the deadline, however long", () => {
    const tally = new RunTally(new DispatchRecord());
    for (let opensInMs = 3_000; opensInMs > 0; opensInMs -= 250) {
      assert.equal(
        tally.nextWaitMs({ opensInMs, leftMs: 4_000, mustComplete: true }),
        250,
      );
    }
    assert.equal(
      tally.nextWaitMs({ opensInMs: 40, leftMs: 1_000, mustComplete: true }),
      40,
    );
    // A backoff that ends too late gets no more waits than one of unknown length.
    const tooLate = { opensInMs: 3_000, leftMs: 2_000, mustComplete: true };
    let waits = 0;
    while (tally.nextWaitMs(tooLate) !== undefined) waits += 1;
    assert.equal(waits, 8);
  });

  it("should wait after a lost run only for a known time unless it must complete", () => {
    const tally = new RunTally(new DispatchRecord());
    const availableSoon = {
      opensInMs: 300,
      leftMs: 2_000,
      mustComplete: false,
    };
    assert.equal(tally.nextWaitMs(availableSoon), undefined);
    tally.recordRun();
    assert.equal(tally.nextWaitMs(availableSoon), 250);
    assert.equal(
      tally.nextWaitMs({ ...availableSoon, opensInMs: undefined }),
      undefined,
    );
    assert.equal(
      tally.nextWaitMs({ ...availableSoon, leftMs: 200 }),
      undefined,
    );
  });
});
