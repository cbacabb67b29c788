import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { wholeBody } from "./answer_bodies.ts";
import type { CallerRecord, Ending } from "./history.ts";
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

describe("check of accepted requests beside a change of the configuration", () => {
  const PROMISE = "accepted requests outlive changes of the configuration";
  const END_MS = SENT_MS + 300;
  const CUT: Ending = { tag: "cut", begun: true };

  function cutBesideChange(patch: Partial<CallerRecord> = {}): void {
    soak.addRequest({ kind: "stream", endMs: END_MS, ending: CUT, ...patch });
    soak.addRun({ broken: true });
    soak.history.configurations.push(
      { version: 1, takenMs: 0, keys: ["key"] },
      { version: 2, takenMs: SENT_MS + 100, keys: [] },
    );
  }

  /** Lets a server run another request of the gateway. */
  function isAble(server: string, atMs = SENT_MS + 10): void {
    const attempt = `other-${server}`;
    const body = wholeBody(attempt);
    soak.addRequest({
      attempt,
      ending: { tag: "answered", status: 200, body },
    });
    soak.addRun({ attempt, server, atMs });
  }

  function othersAreAble(atMs?: number): void {
    isAble("s-2", atMs);
    isAble("s-3", atMs);
  }

  it("should find a stream that is cut after its key was removed", () => {
    cutBesideChange();
    othersAreAble();
    assert.deepEqual(soak.broken(), [PROMISE]);
  });

  it("should find a request that is refused after it has run", () => {
    for (const status of [401, 403, 404, 503]) {
      soak = new SoakHistory();
      const ending: Ending = { tag: "answered", status, body: "" };
      cutBesideChange({ kind: "repeatable", ending });
      othersAreAble();
      assert.deepEqual(soak.broken(), [PROMISE], `status ${status}`);
    }
  });

  it("should find a stream that is cut while the store is away", () => {
    soak.addRequest({ kind: "stream", endMs: END_MS, ending: CUT });
    soak.addRun({ broken: true });
    othersAreAble();
    assert.deepEqual(soak.broken(), []);
    const fromMs = SENT_MS - BOUNDS.keyRemovalMs + 1;
    soak.history.troubles.push({
      name: "store_down",
      victim: "all",
      fromMs,
      untilMs: Infinity,
    });
    assert.deepEqual(soak.broken(), [PROMISE]);
  });

  it("should not mind refusals of what has not run, or may not be repeated", () => {
    const ending: Ending = { tag: "answered", status: 401, body: "" };
    cutBesideChange({ kind: "once", ending });
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
    soak.addRun({ attempt: "a-3", broken: true });
    othersAreAble();
    assert.deepEqual(soak.broken(), []);
  });

  it("should not mind a cut when all runs of the route are used up", () => {
    cutBesideChange();
    othersAreAble();
    for (let run = 1; run < ROUTE.maxRuns; run++) {
      soak.addRun({ server: `s-${run + 3}`, broken: true });
    }
    assert.deepEqual(soak.broken(), []);
  });

  it("should not mind a cut when the time of the request is up", () => {
    const endMs = SENT_MS + ROUTE.timeLimitMs;
    cutBesideChange({ endMs });
    othersAreAble(endMs - 10);
    assert.deepEqual(soak.broken(), []);
  });

  it("should not mind a cut when other servers were out of order", () => {
    cutBesideChange();
    othersAreAble();
    const trouble = { server: "s-2", fromMs: 0, untilMs: SENT_MS };
    soak.history.serverTroubles.push(trouble);
    assert.deepEqual(soak.broken(), []);
  });

  it("should not mind a cut when hardly a server was seen at work lately", () => {
    cutBesideChange();
    isAble("s-2");
    isAble("s-3", SENT_MS - 2_000);
    assert.deepEqual(soak.broken(), []);
  });

  it("should not mind a cut by a kill, a freeze or a lapse of servers", () => {
    for (const name of ["kill", "freeze", "servers_lapse"]) {
      soak = new SoakHistory();
      cutBesideChange();
      othersAreAble();
      const victim = name === "servers_lapse" ? "all" : GATEWAY;
      const untilMs = SENT_MS + 200;
      soak.history.troubles.push({ name, victim, fromMs: SENT_MS, untilMs });
      assert.deepEqual(soak.broken(), [], name);
    }
  });

  it("should leave a cut next to a planned stop to the check of those", () => {
    cutBesideChange();
    othersAreAble();
    soak.history.plannedStops.push({ gateway: GATEWAY, atMs: SENT_MS });
    assert.deepEqual(soak.broken(), []);
  });
});
