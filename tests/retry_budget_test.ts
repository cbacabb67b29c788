/**
 * Seen by users in a fleet of 7 VMs run as real processes: in four cases a service got more retries
 * in ten seconds than all VMs together may send.
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
const BETWEEN_RESTARTS_MS = 3_000;
/** Time with requests before anything happens to the gateways. */
const BEFORE_MS = 6_000;
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

/** Presses for a while as faults are injected. */
async function play(faults: () => Promise<void>): Promise<void> {
  const forMs = BEFORE_MS + RESTARTS * BETWEEN_RESTARTS_MS + 2_000;
  await Promise.all([
    fleet.sendAtRate({ perS: REQUESTS_PER_S, forMs }),
    pause(BEFORE_MS).then(faults),
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
  it("should stay within the bound while all gateways are killed in series", async () => {
    await startFleet({});
    await play(async () => {
      for (let n = 0; n < RESTARTS; n++) {
        signalAll(fleet.gateways, "SIGKILL");
        await pause(BETWEEN_RESTARTS_MS);
      }
    });
    assertWithinBound();
  });

  it("should stay within the bound where no gateway reaches another", async () => {
    await startFleet({ isPartitioned: true });
    await play(async () => {
      const [, ...frozen] = fleet.gateways;
      signalAll(frozen, "SIGSTOP");
      await pause(FREEZE_MS);
      signalAll(frozen, "SIGCONT");
    });
    assertWithinBound();
  });
});
