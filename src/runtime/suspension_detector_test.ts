import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SuspensionDetector } from "./suspension_detector.ts";

describe("suspension detector", () => {
  it("should report a suspension from its end until its backlog is read", () => {
    let nowMs = 5_000;
    const detector = new SuspensionDetector({
      suspendAwareClock: { nowMs: () => nowMs },
    });
    for (let n = 0; n < 20; n++) {
      detector.heartbeat();
      nowMs += 150;
      assert.equal(detector.hasJustResumed, false);
    }
    nowMs += 3_000;
    assert.equal(detector.hasJustResumed, true);
    nowMs += 900;
    detector.heartbeat();
    assert.equal(detector.hasJustResumed, true);
    nowMs += 200;
    assert.equal(detector.hasJustResumed, false);
  });
});
