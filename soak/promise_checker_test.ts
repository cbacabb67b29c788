import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { streamBody, wholeBody } from "./answer_bodies.ts";
import { BOUNDS, WARMUP } from "./soak_settings.ts";
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

describe("promise checker", () => {
  it("should find nothing wrong with an answered request", () => {
    soak.addRequest();
    soak.addRun();
    assert.deepEqual(soak.broken(), []);
  });

  it("should find a request that ran at an evacuated server", () => {
    const saidMs = SENT_MS - BOUNDS.evacuationMs - 1;
    soak.history.evacuations.push({ saidMs, takenBackMs: SENT_MS + 5_000 });
    soak.addRequest();
    soak.addRun();
    assert.deepEqual(soak.broken(), ["evacuated servers"]);
  });

  it("should allow a request while news of an evacuation are on their way, and after it", () => {
    soak.history.evacuations.push({
      saidMs: SENT_MS - BOUNDS.evacuationMs + 100,
      takenBackMs: SENT_MS + 5_000,
    });
    soak.history.evacuations.push({
      saidMs: SENT_MS - 60_000,
      takenBackMs: SENT_MS - 30_000,
    });
    soak.addRequest();
    soak.addRun();
    assert.deepEqual(soak.broken(), []);
  });

  it("should find a cold server that gets more in a second than it may", () => {
    const { requestsPerSecond, overshoot, allowance } = WARMUP;
    const most = requestsPerSecond * overshoot + allowance;
    soak.history.evacuations.push({ saidMs: 0, takenBackMs: SENT_MS });
    for (let n = 0; n < most; n++) soak.addRun({ attempt: `a-${n}` });
    assert.deepEqual(soak.broken(), []);
    soak.addRun({ attempt: "one more" });
    assert.deepEqual(soak.broken(), ["cold servers"]);
  });

  it("should find a request that ran twice", () => {
    soak.addRequest();
    soak.addRun();
    soak.addRun({ server: "s-2" });
    assert.deepEqual(soak.broken(), ["at most once"]);
  });

  it("should find a refused request that ran", () => {
    soak.addRequest({ ending: { tag: "answered", status: 503, body: "" } });
    soak.addRun();
    assert.deepEqual(soak.broken(), ["refusals are true"]);
  });

  it("should find answers that are cut, or of another request", () => {
    const body = wholeBody(ATTEMPT).slice(0, -1);
    soak.addRequest({ ending: { tag: "answered", status: 200, body } });
    soak.addRun();
    assert.deepEqual(soak.broken(), ["whole answers"]);
    soak = new SoakHistory();
    const other = streamBody("a-2", 0);
    soak.addRequest({
      kind: "stream",
      ending: { tag: "answered", status: 200, body: other },
    });
    assert.deepEqual(soak.broken(), ["whole answers"]);
  });

  it("should find a key that was removed long before, or was passed on", () => {
    const takenMs = SENT_MS - BOUNDS.keyRemovalMs - 1;
    soak.history.configurations.push(
      { version: 1, takenMs: 0, keys: ["key"] },
      { version: 2, takenMs, keys: [] },
    );
    soak.addRequest();
    soak.addRun({ keyShown: true });
    assert.deepEqual(soak.broken(), ["keys stay here", "removed keys"]);
  });

  it("should not mind a key that was removed a moment ago", () => {
    soak.history.configurations.push(
      { version: 1, takenMs: 0, keys: ["key"] },
      { version: 2, takenMs: SENT_MS - 1_000, keys: [] },
    );
    soak.addRequest();
    soak.addRun();
    assert.deepEqual(soak.broken(), []);
  });

  it("should find work for a server that left, unless the gateway had trouble", () => {
    const saidMs = SENT_MS - BOUNDS.drainMs - 1;
    soak.history.leavings.push({ server: "s-1", saidMs });
    soak.addRequest();
    soak.addRun();
    assert.deepEqual(soak.broken(), ["leaving servers"]);
    soak.history.troubles.push({
      name: "pause",
      victim: GATEWAY,
      fromMs: saidMs,
      untilMs: SENT_MS,
    });
    assert.deepEqual(soak.broken(), []);
  });

  it("should find a request that a planned stop cut", () => {
    soak.history.plannedStops.push({ gateway: GATEWAY, atMs: SENT_MS - 100 });
    soak.addRequest({ ending: { tag: "cut", begun: true } });
    soak.addRun();
    assert.deepEqual(soak.broken(), ["planned stops"]);
  });

  it("should find a configuration that goes back within a life", () => {
    const shown = { gateway: GATEWAY, version: 2, life: 1 };
    soak.history.shownVersions.push(
      { ...shown, askedMs: 1, shown: false },
      { ...shown, askedMs: 2, shown: true },
      { ...shown, askedMs: 3, shown: false },
      { ...shown, life: 2, askedMs: 4, shown: false },
    );
    assert.deepEqual(soak.broken(), ["configuration never goes back"]);
  });
});
