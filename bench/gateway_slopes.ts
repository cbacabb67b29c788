/** What a quiet fleet of gateways costs, and how that grows with its size. */

import process from "node:process";
import { pause } from "../src/runtime/pause.ts";
import { GatewayFleet } from "../tests/fixtures/gateway_fleet.ts";

/** Below and above the size from which a fleet has relays. */
const SIZES = [7, 12, 28, 56];
/** Time to find each other, and for relays to be followed. */
const SETTLE_MS = 8_000;
const QUIET_MS = 20_000;
const MS_PER_SECOND = 1_000;

/** Prints calls of the store and processor time of quiet fleets in one data centre. */
export async function benchGateways(): Promise<void> {
  const rows: Record<string, object> = {};
  for (const vms of SIZES) rows[`${vms} VMs`] = await quietFleet(vms);
  console.table(rows);
  console.log(
    "All VMs run in one process with the store's stand-in, whose processor time counts.",
  );
}

async function quietFleet(vms: number): Promise<object> {
  const fleet = new GatewayFleet();
  try {
    await fleet.start(vms);
    const startCalls = fleet.store.calls;
    await pause(SETTLE_MS);
    const settled = fleet.store.calls;
    const before = process.cpuUsage();
    await pause(QUIET_MS);
    const { user, system } = process.cpuUsage(before);
    // Microseconds of processor time become milliseconds for each second and VM.
    const perVm = QUIET_MS * vms;
    return {
      "calls until started": startCalls,
      "calls to settle": settled - startCalls,
      "calls a second": (fleet.store.calls - settled) /
        (QUIET_MS / MS_PER_SECOND),
      "processor ms a second a VM": round((user + system) / perVm),
    };
  } finally {
    await fleet.stop();
  }
}

function round(value: number): number {
  return Math.round(10 * value) / 10;
}
