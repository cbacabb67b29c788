import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { responseBody } from "./response_bodies.ts";
import { BOUNDS } from "./soak_settings.ts";
import {
  ATTEMPT,
  GATEWAY,
  SENT_MS,
  SoakHistory,
} from "../tests/fixtures/soak_history.ts";
let soak: SoakHistory;

beforeEach(() => {
  soak = new SoakHistory();
});

describe("check of the notices of servers", () => {
  it("should find requests during a backoff, except those already in flight", () => {
    soak.addRequest();
    const notice = { server: "s-1", attempt: ATTEMPT, backoffMs: 1_500 };
    soak.history.backoffNotices.push({ ...notice, atMs: SENT_MS });
    for (const [attempt, atMs] of [["a-2", 400], ["a-3", 1_600]] as const) {
      soak.addRequest({ attempt });
      soak.addRun({ attempt, atMs: SENT_MS + atMs });
    }
    assert.equal(soak.broken().includes("rests of servers"), false);
    soak.addRequest({ attempt: "a-4" });
    soak.addRun({ attempt: "a-4", atMs: SENT_MS + 900 });
    assert.ok(soak.broken().includes("rests of servers"));
    soak.history.faultWindows.push({
      name: "freeze",
      target: GATEWAY,
      fromMs: SENT_MS,
      untilMs: SENT_MS + 500,
    });
    assert.equal(soak.broken().includes("rests of servers"), false);
  });

  it("should count requests rejected with another backoff as sent during the backoff", () => {
    soak.addRequest();
    soak.addRequest({
      attempt: "a-2",
      ending: { tag: "answered", status: 200, body: responseBody("a-2") },
    });
    const notice = { server: "s-1", backoffMs: 1_500 };
    soak.history.backoffNotices.push({
      ...notice,
      attempt: ATTEMPT,
      atMs: SENT_MS,
    });
    soak.history.backoffNotices.push({
      ...notice,
      attempt: "a-2",
      atMs: SENT_MS + 900,
    });
    assert.deepEqual(soak.broken(), ["rests of servers"]);
  });

  it("should find requests that arrive after a server advertised that it is draining", () => {
    soak.addRequest();
    const notice = { server: "s-1", attempt: ATTEMPT, backoffMs: 0 };
    soak.history.drainingNotices.push({ ...notice, atMs: SENT_MS });
    const lateMs = SENT_MS + BOUNDS.drainMs + 100;
    soak.addRequest({ attempt: "a-2", sentMs: lateMs, kind: "repeatable" });
    soak.addRun({ attempt: "a-2", atMs: lateMs + 10 });
    assert.ok(soak.broken().includes("leaving words of servers"));
  });
});
