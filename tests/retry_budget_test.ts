/**
 * Guards against more retries of a service in ten seconds than all VMs together may send. Users saw
 * this in four cases, in a fleet of 7 VMs run as real processes.
 */

import assert from "node:assert/strict";
import { setTimeout as pause } from "node:timers/promises";
import { afterEach, describe, it } from "node:test";
import type { SoakGateway } from "../soak/soak_gateway.ts";
import {
  type FleetOptions,
  GatewayProcesses,
} from "./fixtures/gateway_processes.ts";
import { worstRetryWindow } from "./fixtures/retry_count.ts";

const REJECTING = Array.from({ length: 8 }, () => "rejects" as const);
const REQUESTS_PER_S = 20;
const RESTARTS = 3;
const RESTART_INTERVAL_MS = 3_000;
/** Duration of the load before the first fault. */
const WARM_UP_MS = 6_000;
const FREEZE_MS = 4_000;

let fleet: GatewayProcesses;

async function startFleet(options: Partial<FleetOptions>): Promise<void> {
  fleet = new GatewayProcesses({
    gateways: 7,
    servers: REJECTING,
    ...options,
  });
  await fleet.start();
}

/** Sends load; `faults` runs once the warm-up is over. */
async function pressWithFaults(faults: () => Promise<void>): Promise<void> {
  const forMs = WARM_UP_MS + RESTARTS * RESTART_INTERVAL_MS + 2_000;
  await Promise.all([
    fleet.sendAtRate({ perS: REQUESTS_PER_S, forMs }),
    pause(WARM_UP_MS).then(faults),
  ]);
}

function signalAll(
  gateways: readonly SoakGateway[],
  name: NodeJS.Signals,
): void {
  for (const gateway of gateways) gateway.signal(name);
}

function assertWithinBound(): void {
  const { retries, allowed } = worstRetryWindow(fleet.recorder.history);
  assert.ok(retries <= allowed, `${retries} retries, ${allowed} allowed`);
  assert.ok(fleet.recorder.history.retriesMs.length > 0);
}

afterEach(() => fleet.stop());

describe("retries of all gateways together", () => {
  it("should stay within the bound while all gateways are killed repeatedly", async () => {
    await startFleet({});
    await pressWithFaults(async () => {
      for (let n = 0; n < RESTARTS; n++) {
        signalAll(fleet.gateways, "SIGKILL");
        await pause(RESTART_INTERVAL_MS);
      }
    });
    assertWithinBound();
  });

  it("should stay within the bound if no gateway can reach another", async () => {
    await startFleet({ isPartitioned: true });
    await pressWithFaults(async () => {
      const [, ...frozen] = fleet.gateways;
      signalAll(frozen, "SIGSTOP");
      await pause(FREEZE_MS);
      signalAll(frozen, "SIGCONT");
    });
    assertWithinBound();
  });
});
