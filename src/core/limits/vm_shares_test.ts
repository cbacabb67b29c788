import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  CLIENTS_SHARE,
  isSmallVm,
  memoryShare,
  socketShare,
  VM_SHARES,
} from "./vm_shares.ts";

const VM = { memoryMb: 350, descriptors: 4_100 };
/** Listeners for readiness, addresses and metrics. */
const CONTROL_LISTENERS = 3;

describe("shares of a VM", () => {
  it("should leave memory to the program and sockets to servers and the store", () => {
    const memory = Object.values(VM_SHARES)
      .filter((share) => share.of === "memory")
      .reduce((sum, { share }) => sum + share, 0);
    const others = 1 + CONTROL_LISTENERS;
    const all = memory + (others - 1) * VM_SHARES.other_bytes_ahead.share;
    assert.equal(CLIENTS_SHARE, 0.6);
    assert.ok(all <= CLIENTS_SHARE);
    const sockets = socketShare(VM, "caller_connections") +
      socketShare(VM, "peer_connections") +
      CONTROL_LISTENERS * socketShare(VM, "control_connections");
    assert.ok(sockets <= 0.75 * (VM.descriptors - 200));
  });

  // Guards against running out of descriptors while each caller waits for a server.
  it("should leave a connection to a server for each caller", () => {
    const sockets = 2 * socketShare(VM, "caller_connections") +
      socketShare(VM, "peer_connections") +
      CONTROL_LISTENERS * socketShare(VM, "control_connections");
    assert.ok(sockets <= 0.95 * (VM.descriptors - 200));
  });

  it("should follow the size of the VM", () => {
    assert.equal(memoryShare(VM, "request_bodies"), 70_000_000);
    assert.equal(socketShare(VM, "caller_connections"), 1_365);
    assert.equal(socketShare({ descriptors: 1 }, "caller_connections"), 8);
  });

  it("should regard a VM as small whose memory hardly holds the program as well", () => {
    assert.equal(isSmallVm({ memoryMb: 220 }), true);
    assert.equal(isSmallVm(VM), false);
  });
});
