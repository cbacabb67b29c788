/**
 * Guards against requests to servers at capacity during the backoff that they requested: a VM relied on
 * its own estimate of their health and sent three, four and six requests within 3 s.
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
const BACKOFF = { restMs: 3_000, nowMs: 1_000 };
const END_MS = 4_000;

function startedBackoff(): ServerBackoffs {
  const backoffs = new ServerBackoffs();
  backoffs.start(SERVER, BACKOFF);
  return backoffs;
}

describe("server backoffs", () => {
  it("should last as long as requested, from when the request was received", () => {
    const backoffs = startedBackoff();
    assert.equal(backoffs.leftMs(SERVER, 1_000), 3_000);
    assert.equal(backoffs.opensInMs(SERVER, END_MS - 1), 1);
    assert.equal(backoffs.opensInMs(SERVER, END_MS), 0);
    assert.equal(backoffs.count(END_MS - 1), 1);
    assert.equal(backoffs.count(END_MS), 0);
  });

  it("should not be shortened by a later, shorter request", () => {
    const backoffs = startedBackoff();
    assert.equal(backoffs.start(SERVER, { restMs: 100, nowMs: 2_000 }), false);
    assert.equal(backoffs.leftMs(SERVER, 2_000), 2_000);
    assert.equal(
      backoffs.start(SERVER, { restMs: 5_000, nowMs: 2_000 }),
      false,
    );
    assert.equal(backoffs.leftMs(SERVER, 2_000), 5_000);
  });

  it("should be followed by single requests until the server accepts one", () => {
    const backoffs = startedBackoff();
    assert.equal(backoffs.recordSend(SERVER, END_MS), true);
    assert.equal(backoffs.opensInMs(SERVER, END_MS), RESUME_INTERVAL_MS);
    assert.equal(
      backoffs.recordSend(SERVER, END_MS + RESUME_INTERVAL_MS),
      false,
    );
    // An answer to a request sent before the backoff ended says nothing about capacity now.
    backoffs.recordAccepted(SERVER, END_MS - 1);
    assert.ok(backoffs.opensInMs(SERVER, END_MS + RESUME_INTERVAL_MS) > 0);
    backoffs.recordAccepted(SERVER, END_MS);
    assert.equal(backoffs.opensInMs(SERVER, END_MS + RESUME_INTERVAL_MS), 0);
  });

  it("should not end by an answer to a request sent before it", () => {
    const backoffs = startedBackoff();
    backoffs.recordAccepted(SERVER, 900);
    assert.equal(backoffs.leftMs(SERVER, 2_000), 2_000);
  });

  it("should apply to the incarnation that requested it", () => {
    const backoffs = startedBackoff();
    const next = { ...SERVER, bornMs: 6 };
    assert.equal(backoffs.leftMs(next, 2_000), 0);
    assert.equal(backoffs.leftMs(serverRecord("i-2"), 2_000), 0);
    // An entry without a start time may be of the same incarnation.
    assert.equal(backoffs.leftMs(serverRecord("i-1"), 2_000), 2_000);
    backoffs.start(next, { restMs: 1_000, nowMs: 2_000 });
    backoffs.start(SERVER, { restMs: 9_000, nowMs: 2_000 });
    assert.equal(backoffs.leftMs(next, 2_000), 1_000);
  });

  it("should be capped for absurd durations", () => {
    const backoffs = new ServerBackoffs();
    backoffs.start(SERVER, { restMs: Number.MAX_VALUE, nowMs: 0 });
    assert.equal(backoffs.leftMs(SERVER, 0), MAX_BACKOFF_MS);
  });

  it("should never be violated, whatever the order of events", () => {
    const step = fc.record({
      kind: fc.constantFrom("ask", "send", "took"),
      born: fc.integer({ min: 1, max: 3 }),
      restMs: fc.integer({ min: 0, max: 4_000 }),
      pauseMs: fc.integer({ min: 0, max: 2_000 }),
    });
    fc.assert(fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
      const backoffs = new ServerBackoffs();
      const untilMs = new Map<number, number>();
      let newest = 0;
      let nowMs = 0;
      for (const { kind, born, restMs, pauseMs } of steps) {
        nowMs += pauseMs;
        const server: ServerIncarnationKey = { ...SERVER, bornMs: born };
        const endMs = untilMs.get(born) ?? 0;
        const open = backoffs.opensInMs(server, nowMs) === 0;
        // An incarnation has ended once a later one has requested a backoff.
        if (born >= newest) assert.ok(!open || endMs <= nowMs);
        if (kind === "send" && open) backoffs.recordSend(server, nowMs);
        if (kind === "took") backoffs.recordAccepted(server, nowMs - pauseMs);
        if (kind !== "ask") continue;
        backoffs.start(server, { restMs, nowMs });
        untilMs.set(born, Math.max(endMs, nowMs + restMs));
        newest = Math.max(newest, born);
      }
    }));
  });
});
