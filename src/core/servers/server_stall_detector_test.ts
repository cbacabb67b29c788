import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { InstanceId } from "../ids.ts";
import { ServerStallDetector } from "./server_stall_detector.ts";

const instance = "i-1" as InstanceId;
const ATTEMPT = {
  instance,
  kind: "r/m",
  sentMs: 1_000,
  targetMs: 200,
  expectedMs: 0,
  byteMs: undefined,
  earliestProbeMs: undefined,
};

describe("server stall detector", () => {
  it("should report a server that sends nothing, not even an answer to a probe", () => {
    const detector = new ServerStallDetector();
    assert.equal(detector.needsProbe(ATTEMPT, 1_300), false);
    assert.equal(detector.needsProbe(ATTEMPT, 1_400), true);
    assert.equal(detector.detectStall(ATTEMPT, 1_890), undefined);
    assert.equal(detector.detectStall(ATTEMPT, 1_900), "server_silent");
  });

  it("should wait longer while the server sends other bytes, but not forever", () => {
    const detector = new ServerStallDetector();
    detector.recordActivity(instance, 1_900);
    assert.equal(detector.detectStall(ATTEMPT, 2_000), undefined);
    detector.recordActivity(instance, 2_500);
    assert.equal(detector.detectStall(ATTEMPT, 2_600), "no_first_byte");
  });

  it("should derive the timeout for a first byte from attempts of the same kind", () => {
    const detector = new ServerStallDetector();
    detector.recordFirstByte("r/m", 100);
    detector.recordActivity(instance, 1_450);
    assert.equal(detector.detectStall(ATTEMPT, 1_590), undefined);
    assert.equal(detector.detectStall(ATTEMPT, 1_600), "no_first_byte");
  });

  it("should allow a first byte most of the latency objective", () => {
    const detector = new ServerStallDetector();
    detector.recordFirstByte("r/m", 100);
    detector.recordActivity(instance, 2_400);
    const withTarget = { ...ATTEMPT, targetMs: 2_000 };
    assert.equal(detector.detectStall(withTarget, 2_490), undefined);
    assert.equal(detector.detectStall(withTarget, 2_500), "no_first_byte");
  });

  it("should wait for a server that answers probes while it processes a long prompt", () => {
    const detector = new ServerStallDetector();
    detector.recordFirstByte("r/m", 100);
    const busy = { ...ATTEMPT, expectedMs: 1_500 };
    detector.recordActivity(instance, 5_300);
    assert.equal(detector.detectStall(busy, 5_490), undefined);
    assert.equal(detector.detectStall(busy, 5_500), "no_first_byte");
    assert.equal(
      detector.detectStall({ ...busy, sentMs: 2_000 }, 6_200),
      "server_silent",
    );
  });

  // Guards against removing a draining server from the detector while it still runs attempts, which
  // were then abandoned immediately as if the server had never sent anything.
  it("should keep the last activity of a server that takes no new work", () => {
    const detector = new ServerStallDetector();
    const waiting = { ...ATTEMPT, targetMs: 60_000 };
    detector.recordActivity(instance, 2_300);
    detector.removeInactive(2_400);
    assert.equal(detector.detectStall(waiting, 2_400), undefined);
    detector.removeInactive(10_000_000);
    assert.equal(detector.detectStall(waiting, 2_400), "server_silent");
  });

  it("should report a stream that pauses for too long", () => {
    const detector = new ServerStallDetector();
    const streaming = { ...ATTEMPT, byteMs: 1_200 };
    detector.recordActivity(instance, 2_700);
    assert.equal(detector.detectStall(streaming, 2_700), undefined);
    assert.equal(detector.detectStall(streaming, 2_900), "stream_paused");
  });

  it("should ignore the silence of a server that must not be probed", () => {
    const detector = new ServerStallDetector();
    const inBackoff = {
      ...ATTEMPT,
      expectedMs: 10_000,
      earliestProbeMs: 4_000,
    };
    assert.equal(detector.needsProbe(inBackoff, 3_900), false);
    assert.equal(detector.detectStall(inBackoff, 3_900), undefined);
    assert.equal(detector.detectStall(inBackoff, 4_890), undefined);
    assert.equal(detector.detectStall(inBackoff, 4_900), "server_silent");
    // The limit on pauses within a stream applies to such a server, too.
    const paused = { ...inBackoff, byteMs: 2_000 };
    assert.equal(detector.detectStall(paused, 3_600), "stream_paused");
  });
});
