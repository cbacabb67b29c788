/**
 * Of many servers that a list still names, one is there. Seen once, with a fleet that had just
 * started: four of eight servers had ended, and a request was refused as four servers could not
 * be reached, beside four that would have served it. A request ended with the fourth such
 * server, however many were left. No log of that run was kept: that its list lagged, as lists do
 * in a VM's first two seconds, is worked out from its times; the bound is shown by this test.
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

/** Servers that have ended, while the list names them. */
const GONE = 23;
/**
 * Port of these servers. One that was free a moment ago may be taken by a server of another test,
 * which then answers: seen in a run of CI beside other work, and in 9 of 84 runs of this
 * file beside each other ("answer without the request's id").
 */
const NEVER_LISTENED_ON = 1;
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
    const bounds = {
      retryAllowance: 1,
      retryRatio: 0,
      retryWindowMs: 1_000,
    };
    for (let play = 0; play < PLAYS; play++) {
      assert.deepEqual(await callAmongGone(bounds), { status: 200, runs: 1 });
    }
  });
});

/** Calls a fresh gateway before such servers; returns what came of it. */
async function callAmongGone(bounds: Partial<VmSettings["bounds"]>) {
  const gateway = new TestGateway();
  for (let n = 0; n < GONE; n++) {
    const spec = serverWire(`127.1.0.${n + 1}:${NEVER_LISTENED_ON}`);
    gateway.store.objects.put("servers", { name: `i-gone-${n}`, spec });
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
