/** Guards against retries beyond the fleet's budget as servers, or links to them, stand still and go on. */

import assert from "node:assert/strict";
import { setTimeout as pause } from "node:timers/promises";
import { afterEach, describe, it } from "node:test";
import {
  type FleetOptions,
  GatewayProcesses,
} from "./fixtures/gateway_processes.ts";
import { worstRetryWindow } from "./fixtures/retry_count.ts";
import { UNSURE_MODEL } from "./fixtures/retry_server.ts";
import type { RetryServerProcess } from "./fixtures/retry_server_process.ts";

const SERVERS = 8;
const GATEWAYS = 7;
const REQUESTS_PER_S = 70;
/** Time with requests before anything stands still. */
const BEFORE_MS = 7_000;
/** Longer than a window of retries. */
const STILL_MS = 12_000;
/** Time with requests afterwards, in which all that lay unread arrives. */
const AFTER_MS = 7_000;
const FREEZE_MS = 4_000;

let fleet: GatewayProcesses;

async function startFleet(options: Partial<FleetOptions> = {}): Promise<void> {
  fleet = new GatewayProcesses({
    gateways: GATEWAYS,
    servers: Array.from({ length: SERVERS }, () => "serves" as const),
    hasServerProcesses: true,
    models: [UNSURE_MODEL, "m1", "m2"],
    ...options,
  });
  await fleet.start();
}

/** Presses while something stands still for a while. */
async function play(stayStill: () => Promise<void>): Promise<void> {
  const forMs = BEFORE_MS + STILL_MS + AFTER_MS;
  await Promise.all([
    fleet.sendAtRate({ perS: REQUESTS_PER_S, forMs }),
    pause(BEFORE_MS).then(stayStill),
  ]);
}

async function rejectAll(servers: readonly RetryServerProcess[]) {
  await Promise.all(servers.map((server) => server.setMode("rejects")));
}

/** Stops servers, and lets them go on once `meanwhile` is over. */
async function stopServers(
  servers: readonly RetryServerProcess[],
  meanwhile: Promise<unknown>,
): Promise<void> {
  for (const server of servers) server.suspend();
  await meanwhile;
  for (const server of servers) server.resume();
}

function assertWithinBound(): void {
  const { retries, allowed } = worstRetryWindow(fleet.recorder.history);
  assert.ok(retries <= allowed, `${retries} retries, ${allowed} allowed`);
  assert.ok(fleet.recorder.history.retriesMs.length > 0);
}

afterEach(() => fleet.stop());

describe("retries that servers read late", () => {
  it("should stay within the bound where all servers are stopped and then reject", async () => {
    await startFleet();
    await play(async () => {
      await rejectAll(fleet.serverProcesses);
      await stopServers(fleet.serverProcesses, pause(STILL_MS));
    });
    assertWithinBound();
  });

  it("should stay within the bound where half of the servers are stopped and the others reject", async () => {
    await startFleet();
    await play(async () => {
      await rejectAll(fleet.serverProcesses);
      const half = fleet.serverProcesses.slice(0, SERVERS / 2);
      await stopServers(half, pause(STILL_MS));
    });
    assertWithinBound();
  });

  it("should stay within the bound where links to servers hold what is sent", async () => {
    await startFleet({ hasLinks: true });
    await play(async () => {
      await rejectAll(fleet.serverProcesses);
      fleet.holdServerLinks(true);
      await pause(STILL_MS);
      fleet.holdServerLinks(false);
    });
    assertWithinBound();
  });

  it("should stay within the bound where servers and gateways are stopped and gateways added", async () => {
    await startFleet({ spares: 3 });
    const [, ...frozen] = fleet.gateways.slice(0, GATEWAYS);
    const freeze = async () => {
      await fleet.startGateways(3);
      for (const gateway of frozen) gateway.signal("SIGSTOP");
      await pause(FREEZE_MS);
      for (const gateway of frozen) gateway.signal("SIGCONT");
    };
    await play(async () => {
      await rejectAll(fleet.serverProcesses);
      await stopServers(
        fleet.serverProcesses,
        Promise.all([freeze(), pause(STILL_MS)]),
      );
    });
    assertWithinBound();
  });
});
