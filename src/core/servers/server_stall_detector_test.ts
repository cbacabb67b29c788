import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { InstanceId } from "../ids.ts";
import { ServerStallDetector } from "./server_stall_detector.ts";

const instance = "i-1" as InstanceId;
const TRY = {
  instance,
  kind: "r/m",
  sentMs: 1_000,
  targetMs: 200,
  expectedMs: 0,
  byteMs: undefined,
  askableMs: undefined,
};

describe("silence watch", () => {
  it("should give up a server that says nothing to anybody, nor to a probe", () => {
    const watch = new ServerStallDetector();
    assert.equal(watch.needsProbe(TRY, 1_300), false);
    assert.equal(watch.needsProbe(TRY, 1_400), true);
    assert.equal(watch.detectStall(TRY, 1_890), undefined);
    assert.equal(watch.detectStall(TRY, 1_900), "server_silent");
  });

  it("should wait on while the server talks to others, but not without end", () => {
    const watch = new ServerStallDetector();
    watch.recordActivity(instance, 1_900);
    assert.equal(watch.detectStall(TRY, 2_000), undefined);
    watch.recordActivity(instance, 2_500);
    assert.equal(watch.detectStall(TRY, 2_600), "no_first_byte");
  });

  it("should know from others of the kind how long a first byte takes", () => {
    const watch = new ServerStallDetector();
    watch.recordFirstByte("r/m", 100);
    watch.recordActivity(instance, 1_450);
    assert.equal(watch.detectStall(TRY, 1_590), undefined);
    assert.equal(watch.detectStall(TRY, 1_600), "no_first_byte");
  });

  it("should leave a request most of its latency objective", () => {
    const watch = new ServerStallDetector();
    watch.recordFirstByte("r/m", 100);
    watch.recordActivity(instance, 2_400);
    const patient = { ...TRY, targetMs: 2_000 };
    assert.equal(watch.detectStall(patient, 2_490), undefined);
    assert.equal(watch.detectStall(patient, 2_500), "no_first_byte");
  });

  it("should wait for a server that answers probes while it reads what it was sent", () => {
    const watch = new ServerStallDetector();
    watch.recordFirstByte("r/m", 100);
    const busy = { ...TRY, expectedMs: 1_500 };
    watch.recordActivity(instance, 5_300);
    assert.equal(watch.detectStall(busy, 5_490), undefined);
    assert.equal(watch.detectStall(busy, 5_500), "no_first_byte");
    assert.equal(
      watch.detectStall({ ...busy, sentMs: 2_000 }, 6_200),
      "server_silent",
    );
  });

  // A server that is said to leave serves on. Its last words were forgotten as it was listed
  // so, and what ran there was given up at once as if it had never spoken.
  it("should remember the last words of a server that takes no new work", () => {
    const watch = new ServerStallDetector();
    const waiting = { ...TRY, targetMs: 60_000 };
    watch.recordActivity(instance, 2_300);
    watch.removeInactive(2_400);
    assert.equal(watch.detectStall(waiting, 2_400), undefined);
    watch.removeInactive(10_000_000);
    assert.equal(watch.detectStall(waiting, 2_400), "server_silent");
  });

  it("should give up a stream that pauses for long", () => {
    const watch = new ServerStallDetector();
    const streaming = { ...TRY, byteMs: 1_200 };
    watch.recordActivity(instance, 2_700);
    assert.equal(watch.detectStall(streaming, 2_700), undefined);
    assert.equal(watch.detectStall(streaming, 2_900), "stream_paused");
  });

  it("should make nothing of the silence of a server that may not be asked", () => {
    const watch = new ServerStallDetector();
    const resting = { ...TRY, expectedMs: 10_000, askableMs: 4_000 };
    assert.equal(watch.needsProbe(resting, 3_900), false);
    assert.equal(watch.detectStall(resting, 3_900), undefined);
    assert.equal(watch.detectStall(resting, 4_890), undefined);
    assert.equal(watch.detectStall(resting, 4_900), "server_silent");
    // A pause within a stream is too long whatever the server does.
    const paused = { ...resting, byteMs: 2_000 };
    assert.equal(watch.detectStall(paused, 3_600), "stream_paused");
  });
});
