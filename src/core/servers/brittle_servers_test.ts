import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import type { InstanceId } from "../ids.ts";
import { BrittleServers } from "./brittle_servers.ts";

const A = "a" as InstanceId;
const SERVER = { instance: A, bornMs: 1 };
const BEARS = 5;
const VMS = 7;

let servers: BrittleServers;

function canSend(inFlight: number, nowMs: number, ownSlots = 1): boolean {
  return servers.canSend(A, { inFlight, vms: VMS, ownSlots, nowMs });
}

beforeEach(() => {
  servers = new BrittleServers({ chance: () => 0 });
  servers.receive(SERVER, BEARS);
});

describe("brittle servers", () => {
  it("should get no more than this VM's slots for a second after a rejection", () => {
    assert.equal(canSend(1, 10_000), true);
    servers.recordRejection(A, { inFlight: 2, nowMs: 10_000 });
    assert.equal(canSend(0, 10_001), true);
    assert.equal(canSend(1, 10_001), false);
    assert.equal(canSend(0, 10_001, 0), false);
  });

  it("should get one more request from time to time, so that room is found again", () => {
    servers.recordRejection(A, { inFlight: 2, nowMs: 10_000 });
    const later = 10_000 + 10_000;
    assert.equal(canSend(1, later), true);
    assert.equal(canSend(2, later), false);
  });

  it("should be held back by rejections at other VMs, each counted once", () => {
    const rejection = { ...SERVER, bears: BEARS, atMs: 10_000 };
    servers.receiveRejection(rejection, { inFlight: 3, isKnown: false });
    assert.equal(canSend(1, 10_001), false);
    servers.receiveRejection(rejection, { inFlight: 9, isKnown: true });
    assert.equal(
      servers.opensInMs(A, {
        inFlight: 1,
        vms: VMS,
        ownSlots: 1,
        nowMs: 10_001,
      }),
      999,
    );
  });

  it("should be free again once they no longer say that they are brittle, or restart", () => {
    servers.recordRejection(A, { inFlight: 2, nowMs: 10_000 });
    servers.receive({ instance: A, bornMs: 2 }, BEARS);
    assert.equal(canSend(1, 10_001), true);
    assert.equal(servers.receiveSound(SERVER), true);
    assert.equal(canSend(100, 10_001), true);
    assert.equal(servers.isEmpty, true);
  });
});
