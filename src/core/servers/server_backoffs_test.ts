/**
 * Servers that were full got requests within the rest that they had asked a VM for, as it went by
 * its own guess of their health: three, four and six in 3 s.
 */

import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import {
  MAX_BACKOFF_MS,
  RESUME_INTERVAL_MS,
  ServerBackoffs,
} from "./server_backoffs.ts";
import type { ServerIncarnationKey } from "./server_record.ts";
import { serverRecord } from "../../../tests/fixtures/server_record.ts";

const SERVER = serverRecord("i-1", { bornMs: 5 });
const REST = { restMs: 3_000, nowMs: 1_000 };
const END_MS = 4_000;

function rested(): ServerBackoffs {
  const rests = new ServerBackoffs();
  rests.start(SERVER, REST);
  return rests;
}

describe("rests of servers", () => {
  it("should last as long as a server has asked, from when that was heard", () => {
    const rests = rested();
    assert.equal(rests.leftMs(SERVER, 1_000), 3_000);
    assert.equal(rests.opensInMs(SERVER, END_MS - 1), 1);
    assert.equal(rests.opensInMs(SERVER, END_MS), 0);
    assert.equal(rests.count(END_MS - 1), 1);
    assert.equal(rests.count(END_MS), 0);
  });

  it("should not be shortened by a shorter word that comes later", () => {
    const rests = rested();
    assert.equal(rests.start(SERVER, { restMs: 100, nowMs: 2_000 }), false);
    assert.equal(rests.leftMs(SERVER, 2_000), 2_000);
    assert.equal(rests.start(SERVER, { restMs: 5_000, nowMs: 2_000 }), false);
    assert.equal(rests.leftMs(SERVER, 2_000), 5_000);
  });

  it("should be followed by requests one by one, until the server takes one", () => {
    const rests = rested();
    assert.equal(rests.recordSend(SERVER, END_MS), true);
    assert.equal(rests.opensInMs(SERVER, END_MS), RESUME_INTERVAL_MS);
    assert.equal(rests.recordSend(SERVER, END_MS + RESUME_INTERVAL_MS), false);
    // An answer to what was sent before the rest says nothing of room now.
    rests.recordAccepted(SERVER, END_MS - 1);
    assert.ok(rests.opensInMs(SERVER, END_MS + RESUME_INTERVAL_MS) > 0);
    rests.recordAccepted(SERVER, END_MS);
    assert.equal(rests.opensInMs(SERVER, END_MS + RESUME_INTERVAL_MS), 0);
  });

  it("should not end by an answer to a request that was sent before", () => {
    const rests = rested();
    rests.recordAccepted(SERVER, 900);
    assert.equal(rests.leftMs(SERVER, 2_000), 2_000);
  });

  it("should belong to the life that asked", () => {
    const rests = rested();
    const next = { ...SERVER, bornMs: 6 };
    assert.equal(rests.leftMs(next, 2_000), 0);
    assert.equal(rests.leftMs(serverRecord("i-2"), 2_000), 0);
    // An entry that does not tell its birth may be of the same life.
    assert.equal(rests.leftMs(serverRecord("i-1"), 2_000), 2_000);
    rests.start(next, { restMs: 1_000, nowMs: 2_000 });
    rests.start(SERVER, { restMs: 9_000, nowMs: 2_000 });
    assert.equal(rests.leftMs(next, 2_000), 1_000);
  });

  it("should be bounded against nonsense", () => {
    const rests = new ServerBackoffs();
    rests.start(SERVER, { restMs: Number.MAX_VALUE, nowMs: 0 });
    assert.equal(rests.leftMs(SERVER, 0), MAX_BACKOFF_MS);
  });

  it("should never be broken, whatever is heard in whatever order", () => {
    const step = fc.record({
      kind: fc.constantFrom("ask", "send", "took"),
      born: fc.integer({ min: 1, max: 3 }),
      restMs: fc.integer({ min: 0, max: 4_000 }),
      pauseMs: fc.integer({ min: 0, max: 2_000 }),
    });
    fc.assert(fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
      const rests = new ServerBackoffs();
      const untilMs = new Map<number, number>();
      let newest = 0;
      let nowMs = 0;
      for (const { kind, born, restMs, pauseMs } of steps) {
        nowMs += pauseMs;
        const life: ServerIncarnationKey = { ...SERVER, bornMs: born };
        const endMs = untilMs.get(born) ?? 0;
        const open = rests.opensInMs(life, nowMs) === 0;
        // Lives that a later one has asked after are over.
        if (born >= newest) assert.ok(!open || endMs <= nowMs);
        if (kind === "send" && open) rests.recordSend(life, nowMs);
        if (kind === "took") rests.recordAccepted(life, nowMs - pauseMs);
        if (kind !== "ask") continue;
        rests.start(life, { restMs, nowMs });
        untilMs.set(born, Math.max(endMs, nowMs + restMs));
        newest = Math.max(newest, born);
      }
    }));
  });
});
