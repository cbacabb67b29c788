import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { wholeBody } from "./answer_bodies.ts";
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

describe("check of what servers say of themselves", () => {
  it("should find requests within a rest, but for what was on its way", () => {
    soak.addRequest();
    const rest = { server: "s-1", attempt: ATTEMPT, restMs: 1_500 };
    soak.history.rests.push({ ...rest, atMs: SENT_MS });
    for (const [attempt, atMs] of [["a-2", 400], ["a-3", 1_600]] as const) {
      soak.addRequest({ attempt });
      soak.addRun({ attempt, atMs: SENT_MS + atMs });
    }
    assert.equal(soak.broken().includes("rests of servers"), false);
    soak.addRequest({ attempt: "a-4" });
    soak.addRun({ attempt: "a-4", atMs: SENT_MS + 900 });
    assert.ok(soak.broken().includes("rests of servers"));
    soak.history.troubles.push({
      name: "freeze",
      victim: GATEWAY,
      fromMs: SENT_MS,
      untilMs: SENT_MS + 500,
    });
    assert.equal(soak.broken().includes("rests of servers"), false);
  });

  it("should count what is turned away again as sent within a rest", () => {
    soak.addRequest();
    soak.addRequest({
      attempt: "a-2",
      ending: { tag: "answered", status: 200, body: wholeBody("a-2") },
    });
    const rest = { server: "s-1", restMs: 1_500 };
    soak.history.rests.push({ ...rest, attempt: ATTEMPT, atMs: SENT_MS });
    soak.history.rests.push({ ...rest, attempt: "a-2", atMs: SENT_MS + 900 });
    assert.deepEqual(soak.broken(), ["rests of servers"]);
  });

  it("should find requests that come after a server's word that it leaves", () => {
    soak.addRequest();
    const word = { server: "s-1", attempt: ATTEMPT, restMs: 0 };
    soak.history.leavingWords.push({ ...word, atMs: SENT_MS });
    const lateMs = SENT_MS + BOUNDS.drainMs + 100;
    soak.addRequest({ attempt: "a-2", sentMs: lateMs, kind: "repeatable" });
    soak.addRun({ attempt: "a-2", atMs: lateMs + 10 });
    assert.ok(soak.broken().includes("leaving words of servers"));
  });
});
