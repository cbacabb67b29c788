/**
 * Of many servers that a list still names, one is there. Seen once, in the first seconds of a fleet
 * whose VMs had not learnt yet that four of eight servers had ended: a request met these four one
 * after the other and was refused, beside four that would have served it. A request ended
 * with the fourth server that could not be reached. Shown by the times: a VM watches the list
 * from its third second on, and just four servers had ended.
 */

import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { VmSettings } from "../src/platform/vm_settings_wire.ts";
import {
  answerBytes,
  routeWire,
  serverWire,
  TestGateway,
} from "./fixtures/test_gateway.ts";
import { freePort } from "./fixtures/free_port.ts";

/** Servers that have ended, while the list names them. */
const GONE = 23;
/** Gateways: chance decides which server each asks first. */
const PLAYS = 3;

describe("a request of which most servers are gone", () => {
  it("should find the one that is there", async () => {
    for (let play = 0; play < PLAYS; play++) {
      assert.deepEqual(await callAmongGone({}), { status: 200, runs: 1 });
    }
  });

  it("should use up no repeats of others on its way there", async () => {
    // Found by reading the mend above: each server that was not reached cost a repeat.
    const bounds = { retryAllowance: 1, retryRatio: 0 };
    for (let play = 0; play < PLAYS; play++) {
      assert.deepEqual(await callAmongGone(bounds), { status: 200, runs: 1 });
    }
  });
});

/** Calls a fresh gateway before such servers; returns what came of it. */
async function callAmongGone(bounds: Partial<VmSettings["bounds"]>) {
  const gateway = new TestGateway();
  for (let n = 0; n < GONE; n++) {
    const spec = serverWire(`127.0.0.1:${await freePort()}`);
    gateway.store.kinds.put("servers", { name: `i-gone-${n}`, spec });
  }
  const { requests } = await gateway.addServer(
    "i-there",
    ({ socket }) => socket.write(answerBytes()),
  );
  try {
    await gateway.start([routeWire()], bounds);
    const { status } = await gateway.call("/stock/1");
    return { status, runs: requests.length };
  } finally {
    await gateway.stop();
  }
}
