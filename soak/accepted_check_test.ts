import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { responseBody } from "./response_bodies.ts";
import type { Ending, RequestRecord } from "./history.ts";
import { BOUNDS, ROUTE } from "./soak_settings.ts";
import {
  GATEWAY,
  SENT_MS,
  SoakHistory,
} from "../tests/fixtures/soak_history.ts";
let soak: SoakHistory;

beforeEach(() => {
  soak = new SoakHistory();
});

describe("check of accepted requests during a configuration change", () => {
  const PROMISE = "accepted requests outlive changes of the configuration";
  const END_MS = SENT_MS + 300;
  const CUT: Ending = { tag: "cut", begun: true };

  function cutDuringChange(patch: Partial<RequestRecord> = {}): void {
    soak.addRequest({ kind: "stream", endMs: END_MS, ending: CUT, ...patch });
    soak.addRun({ incomplete: true });
    soak.history.configurations.push(
      { version: 1, storedMs: 0, keys: ["key"] },
      { version: 2, storedMs: SENT_MS + 100, keys: [] },
    );
  }

  /** Records that a server ran another request of the gateway. */
  function recordOtherRun(server: string, atMs = SENT_MS + 10): void {
    const attempt = `other-${server}`;
    const body = responseBody(attempt);
    soak.addRequest({
      attempt,
      ending: { tag: "answered", status: 200, body },
    });
    soak.addRun({ attempt, server, atMs });
  }

  function recordOtherRuns(atMs?: number): void {
    recordOtherRun("s-2", atMs);
    recordOtherRun("s-3", atMs);
  }

  it("should find a stream that is cut after its key was removed", () => {
    cutDuringChange();
    recordOtherRuns();
    assert.deepEqual(soak.broken(), [PROMISE]);
  });

  it("should find a request that is refused after it has run", () => {
    for (const status of [401, 403, 404, 503]) {
      soak = new SoakHistory();
      const ending: Ending = { tag: "answered", status, body: "" };
      cutDuringChange({ kind: "repeatable", ending });
      recordOtherRuns();
      assert.deepEqual(soak.broken(), [PROMISE], `status ${status}`);
    }
  });

  it("should find a stream that is cut while the store is down", () => {
    soak.addRequest({ kind: "stream", endMs: END_MS, ending: CUT });
    soak.addRun({ incomplete: true });
    recordOtherRuns();
    assert.deepEqual(soak.broken(), []);
    const fromMs = SENT_MS - BOUNDS.keyRemovalMs + 1;
    soak.history.faultWindows.push({
      name: "store_down",
      target: "all",
      fromMs,
      untilMs: Infinity,
    });
    assert.deepEqual(soak.broken(), [PROMISE]);
  });

  it("should ignore refusals of requests that have not run or may not be retried", () => {
    const ending: Ending = { tag: "answered", status: 401, body: "" };
    cutDuringChange({ kind: "once", ending });
    soak.addRequest({
      attempt: "a-2",
      kind: "repeatable",
      endMs: END_MS,
      ending,
    });
    soak.addRequest({
      attempt: "a-3",
      kind: "stream",
      endMs: END_MS,
      ending: { tag: "cut", begun: false },
    });
    soak.addRun({ attempt: "a-3", incomplete: true });
    recordOtherRuns();
    assert.deepEqual(soak.broken(), []);
  });

  it("should ignore a cut when all attempts of the route are used up", () => {
    cutDuringChange();
    recordOtherRuns();
    for (let run = 1; run < ROUTE.maxRuns; run++) {
      soak.addRun({ server: `s-${run + 3}`, incomplete: true });
    }
    assert.deepEqual(soak.broken(), []);
  });

  it("should ignore a cut when the request has reached its deadline", () => {
    const endMs = SENT_MS + ROUTE.timeLimitMs;
    cutDuringChange({ endMs });
    recordOtherRuns(endMs - 10);
    assert.deepEqual(soak.broken(), []);
  });

  it("should ignore a cut when other servers were faulty", () => {
    cutDuringChange();
    recordOtherRuns();
    const window = { server: "s-2", fromMs: 0, untilMs: SENT_MS };
    soak.history.serverFaultWindows.push(window);
    assert.deepEqual(soak.broken(), []);
  });

  it("should ignore a cut when too few servers ran requests recently", () => {
    cutDuringChange();
    recordOtherRun("s-2");
    recordOtherRun("s-3", SENT_MS - 2_000);
    assert.deepEqual(soak.broken(), []);
  });

  it("should ignore a cut during a kill, a freeze or an expiry of server entries", () => {
    for (const name of ["kill", "freeze", "servers_lapse"]) {
      soak = new SoakHistory();
      cutDuringChange();
      recordOtherRuns();
      const target = name === "servers_lapse" ? "all" : GATEWAY;
      const untilMs = SENT_MS + 200;
      soak.history.faultWindows.push({
        name,
        target,
        fromMs: SENT_MS,
        untilMs,
      });
      assert.deepEqual(soak.broken(), [], name);
    }
  });

  it("should leave a cut during a planned stop to the check of planned stops", () => {
    cutDuringChange();
    recordOtherRuns();
    soak.history.plannedStops.push({ gateway: GATEWAY, atMs: SENT_MS });
    assert.deepEqual(soak.broken(), []);
  });
});
