import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { CONTACT_MS } from "./soak_settings.ts";
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
  /** Three servers have ended so long before, and the request reaches another. */
  function ranAfter(sinceMs: number): void {
    for (const n of [1, 2, 3]) {
      const atMs = SENT_MS - sinceMs + n;
      soak.history.poisonedServers.push({ server: `s-${n}`, atMs });
    }
    soak.addRequest();
    soak.history.poisonCallers.push(...soak.history.callers.splice(0));
    soak.addRun({ poison: true, broken: true, server: "s-4" });
  }

  it("should find that it was sent after all had time to know", () => {
    ranAfter(CONTACT_MS + 100);
    assert.deepEqual(soak.broken(), ["crashing requests"]);
  });

  it("should allow it while news is on its way, or to a gateway that was frozen", () => {
    ranAfter(CONTACT_MS - 100);
    assert.deepEqual(soak.broken(), []);
    soak = new SoakHistory();
    ranAfter(CONTACT_MS + 100);
    const span = { fromMs: 0, untilMs: SENT_MS - 100 };
    soak.history.troubles.push({ name: "freeze", victim: GATEWAY, ...span });
    assert.deepEqual(soak.broken(), []);
  });

  it("should find another request that was taken for it", () => {
    const body = '{"code":"crashes_servers"}';
    soak.addRequest({ ending: { tag: "answered", status: 503, body } });
    assert.deepEqual(soak.broken(), ["innocent requests"]);
  });
});
