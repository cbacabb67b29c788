import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { MAX_DISCONNECTED_MS } from "./soak_settings.ts";
import {
  GATEWAY,
  SENT_MS,
  SoakHistory,
} from "../tests/fixtures/soak_history.ts";
let soak: SoakHistory;

beforeEach(() => {
  soak = new SoakHistory();
});

describe("check of a request that crashes servers", () => {
  /** Records three crashes this long before, and a run of the request on a fourth server. */
  function runAfterCrashes(sinceMs: number): void {
    for (const n of [1, 2, 3]) {
      const atMs = SENT_MS - sinceMs + n;
      soak.history.poisonCrashes.push({ server: `s-${n}`, atMs });
    }
    soak.addRequest();
    soak.history.poisonRequests.push(...soak.history.requests.splice(0));
    soak.addRun({ poison: true, incomplete: true, server: "s-4" });
  }

  it("should find that it was sent after all gateways had time to learn of the crashes", () => {
    runAfterCrashes(MAX_DISCONNECTED_MS + 100);
    assert.deepEqual(soak.broken(), ["crashing requests"]);
  });

  it("should allow it while the crashes are being propagated, or from a gateway that was frozen", () => {
    runAfterCrashes(MAX_DISCONNECTED_MS - 100);
    assert.deepEqual(soak.broken(), []);
    soak = new SoakHistory();
    runAfterCrashes(MAX_DISCONNECTED_MS + 100);
    const span = { fromMs: 0, untilMs: SENT_MS - 100 };
    soak.history.faultWindows.push({
      name: "freeze",
      target: GATEWAY,
      ...span,
    });
    assert.deepEqual(soak.broken(), []);
  });

  it("should find another request that was refused as a poison request", () => {
    const body = '{"code":"crashes_servers"}';
    soak.addRequest({ ending: { tag: "answered", status: 503, body } });
    assert.deepEqual(soak.broken(), ["innocent requests"]);
  });
});

describe("check of a prompt part that crashes servers", () => {
  /** Records five crashes this long before, and runs of other requests with the part. */
  function runAfterCrashes(sinceMs: number, runs: number): void {
    for (const n of [1, 2, 3, 4, 5]) {
      const atMs = SENT_MS - sinceMs + n;
      soak.history.badPartCrashes.push({ server: `s-${n}`, atMs });
    }
    soak.addRequest();
    soak.history.badPartRequests.push(...soak.history.requests.splice(0));
    for (let n = 0; n < runs; n++) {
      soak.addRun({ badPart: true, incomplete: true, server: `t-${n}` });
    }
  }

  it("should find that four requests with it were sent after all gateways had time to learn of it", () => {
    runAfterCrashes(MAX_DISCONNECTED_MS + 100, 4);
    assert.equal(new Set(soak.broken()).size, 1);
    assert.equal(soak.broken()[0], "crashing prompt part");
  });

  it("should allow three, and any number before", () => {
    runAfterCrashes(MAX_DISCONNECTED_MS + 100, 3);
    assert.deepEqual(soak.broken(), []);
    soak = new SoakHistory();
    runAfterCrashes(MAX_DISCONNECTED_MS - 100, 10);
    assert.deepEqual(soak.broken(), []);
  });
});
