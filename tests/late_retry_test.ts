/**
 * Guards against retries beyond the fleet's budget when servers, or links to them, stall and
 * resume.
 */

import assert from "node:assert/strict";
import process from "node:process";
import { setTimeout as pause } from "node:timers/promises";
import { after, afterEach, describe, it } from "node:test";
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
/** Duration of the load before the stall. */
const WARM_UP_MS = 7_000;
/** Longer than the window of the retry budget. */
const STALL_MS = 12_000;
/** Duration of the load after the stall, in which all unread data arrives. */
const RECOVERY_MS = 7_000;
const FREEZE_MS = 4_000;
/** Time after the tests in which the process normally ends. */
const EXIT_MS = 10_000;

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

/** Sends load; `stall` runs once the warm-up is over. */
async function pressWithStall(stall: () => Promise<void>): Promise<void> {
  const forMs = WARM_UP_MS + STALL_MS + RECOVERY_MS;
  await Promise.all([
    fleet.sendAtRate({ perS: REQUESTS_PER_S, forMs }),
    pause(WARM_UP_MS).then(stall),
  ]);
}

async function rejectAll(servers: readonly RetryServerProcess[]) {
  await Promise.all(servers.map((server) => server.setMode("rejects")));
}

/** Suspends servers, and resumes them once `meanwhile` resolves. */
async function suspendServers(
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

// Names what keeps the process alive, should it not end after its tests.
after(() => {
  setTimeout(() => {
    const open = process.getActiveResourcesInfo().join(", ");
    console.error(`Still open ${EXIT_MS} ms after the tests: ${open}`);
  }, EXIT_MS).unref();
});

describe("retries that servers read after a stall", () => {
  it("should stay within the bound if all servers are suspended and then reject", async () => {
    await startFleet();
    await pressWithStall(async () => {
      await rejectAll(fleet.serverProcesses);
      await suspendServers(fleet.serverProcesses, pause(STALL_MS));
    });
    assertWithinBound();
  });

  it("should stay within the bound if half of the servers are suspended and the others reject", async () => {
    await startFleet();
    await pressWithStall(async () => {
      await rejectAll(fleet.serverProcesses);
      const half = fleet.serverProcesses.slice(0, SERVERS / 2);
      await suspendServers(half, pause(STALL_MS));
    });
    assertWithinBound();
  });

  it("should stay within the bound if links to servers withhold data", async () => {
    await startFleet({ hasLinks: true });
    await pressWithStall(async () => {
      await rejectAll(fleet.serverProcesses);
      fleet.holdServerLinks(true);
      await pause(STALL_MS);
      fleet.holdServerLinks(false);
    });
    assertWithinBound();
  });

  it("should stay within the bound if servers and gateways are suspended and gateways added", async () => {
    await startFleet({ spares: 3 });
    const [, ...frozen] = fleet.gateways.slice(0, GATEWAYS);
    const freeze = async () => {
      await fleet.startGateways(3);
      for (const gateway of frozen) gateway.signal("SIGSTOP");
      await pause(FREEZE_MS);
      for (const gateway of frozen) gateway.signal("SIGCONT");
    };
    await pressWithStall(async () => {
      await rejectAll(fleet.serverProcesses);
      await suspendServers(
        fleet.serverProcesses,
        Promise.all([freeze(), pause(STALL_MS)]),
      );
    });
    assertWithinBound();
  });
});
