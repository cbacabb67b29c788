/**
 * Guards against a 503 while the server list still names servers that have terminated. A request
 * used to fail at the fourth server that could not be reached, however many were left: in a fleet
 * that had just started, four of eight servers had terminated, and a request was refused although
 * the other four would have served it. The list lags in a VM's first two seconds; for that run
 * this is inferred from its times, as no log was kept. This test shows the limit itself.
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

/** Servers that have terminated but are still listed. */
const UNREACHABLE_SERVERS = 23;
/**
 * Port of these servers, on which nothing listens. A port that was free a moment ago may be taken
 * by a server of another test, which then answers ("answer without the request's id"): this
 * happened in CI, and in 9 of 84 concurrent runs of this file.
 */
const UNUSED_PORT = 1;
/** Gateways to test: each picks its first server at random. */
const ROUNDS = 3;

describe("a request for a service with mostly unreachable servers", () => {
  it("should reach the one available server", async () => {
    for (let round = 0; round < ROUNDS; round++) {
      assert.deepEqual(await callAmongUnreachable({}), {
        status: 200,
        runs: 1,
      });
    }
  });

  it("should not consume the retry budget for unreachable servers", async () => {
    // Each server that was not reached used to cost one retry of the budget.
    const bounds = {
      retryAllowance: 1,
      retryRatio: 0,
      retryWindowMs: 1_000,
    };
    for (let round = 0; round < ROUNDS; round++) {
      assert.deepEqual(await callAmongUnreachable(bounds), {
        status: 200,
        runs: 1,
      });
    }
  });
});

/** Calls a new gateway with these servers; returns the status and the number of executions. */
async function callAmongUnreachable(bounds: Partial<VmSettings["bounds"]>) {
  const gateway = new TestGateway();
  for (let n = 0; n < UNREACHABLE_SERVERS; n++) {
    const spec = serverWire(`127.1.0.${n + 1}:${UNUSED_PORT}`);
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
