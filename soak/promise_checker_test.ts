import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { streamBody, wholeBody } from "./answer_bodies.ts";
import { type CallerRecord, History, type RunRecord } from "./history.ts";
import type { GatewayName } from "./ids.ts";
import { checkPromises } from "./promise_checker.ts";
import { ACCOUNT, BOUNDS } from "./soak_settings.ts";

const GATEWAY = "vm-1" as GatewayName;
const ATTEMPT = "a-1";
const SENT_MS = 20_000;

let history: History;

beforeEach(() => {
  history = new History();
});

function called(patch: Partial<CallerRecord> = {}): void {
  history.callers.push({
    attempt: ATTEMPT,
    kind: "once",
    gateway: GATEWAY,
    key: "key",
    sentMs: SENT_MS,
    endMs: SENT_MS + 50,
    ending: { tag: "answered", status: 200, body: wholeBody(ATTEMPT) },
    ...patch,
  });
}

function ran(patch: Partial<RunRecord> = {}): void {
  history.runs.push({
    attempt: ATTEMPT,
    server: "s-1",
    atMs: SENT_MS + 10,
    account: ACCOUNT,
    keyShown: false,
    broken: false,
    ...patch,
  });
}

function broken(): string[] {
  return checkPromises(history).map(({ promise }) => promise);
}

describe("promise checker", () => {
  it("should find nothing wrong with an answered request", () => {
    called();
    ran();
    assert.deepEqual(broken(), []);
  });

  it("should find a request that ran twice", () => {
    called();
    ran();
    ran({ server: "s-2" });
    assert.deepEqual(broken(), ["at most once"]);
  });

  it("should find a refused request that ran", () => {
    called({ ending: { tag: "answered", status: 503, body: "" } });
    ran();
    assert.deepEqual(broken(), ["refusals are true"]);
  });

  it("should find answers that are cut, or of another request", () => {
    const body = wholeBody(ATTEMPT).slice(0, -1);
    called({ ending: { tag: "answered", status: 200, body } });
    ran();
    assert.deepEqual(broken(), ["whole answers"]);
    history = new History();
    const other = streamBody("a-2", 0);
    called({
      kind: "stream",
      ending: { tag: "answered", status: 200, body: other },
    });
    assert.deepEqual(broken(), ["whole answers"]);
  });

  it("should find a key that was removed long before, or was passed on", () => {
    const takenMs = SENT_MS - BOUNDS.keyRemovalMs - 1;
    history.configurations.push(
      { version: 1, takenMs: 0, keys: ["key"] },
      { version: 2, takenMs, keys: [] },
    );
    called();
    ran({ keyShown: true });
    assert.deepEqual(broken(), ["keys stay here", "removed keys"]);
  });

  it("should not mind a key that was removed a moment ago", () => {
    history.configurations.push(
      { version: 1, takenMs: 0, keys: ["key"] },
      { version: 2, takenMs: SENT_MS - 1_000, keys: [] },
    );
    called();
    ran();
    assert.deepEqual(broken(), []);
  });

  it("should find work for a server that left, unless the gateway had trouble", () => {
    const saidMs = SENT_MS - BOUNDS.drainMs - 1;
    history.leavings.push({ server: "s-1", saidMs });
    called();
    ran();
    assert.deepEqual(broken(), ["leaving servers"]);
    history.troubles.push({
      name: "pause",
      victim: GATEWAY,
      fromMs: saidMs,
      untilMs: SENT_MS,
    });
    assert.deepEqual(broken(), []);
  });

  it("should find a request that a planned stop cut", () => {
    history.plannedStops.push({ gateway: GATEWAY, atMs: SENT_MS - 100 });
    called({ ending: { tag: "cut" } });
    ran();
    assert.deepEqual(broken(), ["planned stops"]);
  });

  it("should find a configuration that goes back within a life", () => {
    const shown = { gateway: GATEWAY, version: 2, life: 1 };
    history.shownVersions.push(
      { ...shown, askedMs: 1, shown: false },
      { ...shown, askedMs: 2, shown: true },
      { ...shown, askedMs: 3, shown: false },
      { ...shown, life: 2, askedMs: 4, shown: false },
    );
    assert.deepEqual(broken(), ["configuration never goes back"]);
  });
});
