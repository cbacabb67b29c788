/**
 * Guards against retries beyond the fleet's budget once traffic has ended.
 *
 * Seen: fleets of real processes exceeded the bound on retries; no logs were kept. Seven gateways and
 * eight server processes, callers that stop two seconds into a stall of all servers: 72 to 104
 * retries were read in ten seconds, 54 allowed.
 * How: retries lie unread in the socket buffers of stalled servers until these resume.
 * Cause: what lay unread was limited by the requests of the window in which it was sent. Once
 * traffic has ended, no requests pay for it, and only the allowance is left.
 * Proof: within the bound if what all VMs may have unread fits into the allowance.
 */

import assert from "node:assert/strict";
import { setTimeout as pause } from "node:timers/promises";
import { afterEach, describe, it } from "node:test";
import { GatewayProcesses } from "./fixtures/gateway_processes.ts";
import { worstRetryWindow } from "./fixtures/retry_count.ts";
import { UNSURE_MODEL } from "./fixtures/retry_server.ts";

const SERVERS = 8;
const GATEWAYS = 7;
const REQUESTS_PER_S = 70;
/** Duration of the load before the stall. */
const WARM_UP_MS = 7_000;
/** Duration of the load after the start of the stall. */
const LAST_REQUESTS_MS = 2_000;
/** Longer than the window of the retry budget. */
const STALL_MS = 12_000;
/** Time after the stall in which all unread data arrives. */
const RECOVERY_MS = 3_000;

let fleet: GatewayProcesses;

async function playEndOfTraffic(models: readonly string[]): Promise<void> {
  fleet = new GatewayProcesses({
    gateways: GATEWAYS,
    servers: Array.from({ length: SERVERS }, () => "serves" as const),
    hasServerProcesses: true,
    models,
  });
  await fleet.start();
  const { serverProcesses } = fleet;
  const stall = async () => {
    await pause(WARM_UP_MS);
    await Promise.all(serverProcesses.map((one) => one.setMode("rejects")));
    for (const server of serverProcesses) server.suspend();
    await pause(STALL_MS);
    for (const server of serverProcesses) server.resume();
    await pause(RECOVERY_MS);
  };
  const forMs = WARM_UP_MS + LAST_REQUESTS_MS;
  await Promise.all([
    fleet.sendAtRate({ perS: REQUESTS_PER_S, forMs }),
    stall(),
  ]);
}

function assertWithinBound(): void {
  const { retries, allowed } = worstRetryWindow(fleet.recorder.history);
  assert.ok(retries <= allowed, `${retries} retries, ${allowed} allowed`);
}

describe("retries after the end of traffic", () => {
  afterEach(() => fleet.stop());

  // Guards against unread retries for which no requests pay once callers have stopped.
  it("should stay within the bound if callers stop while servers of models stall", async () => {
    await playEndOfTraffic([UNSURE_MODEL, "m1", "m2"]);
    assertWithinBound();
    assert.ok(fleet.recorder.history.retriesMs.length > 0);
  });

  it("should stay within the bound if callers stop while plain servers stall", async () => {
    await playEndOfTraffic([]);
    assertWithinBound();
  });
});
