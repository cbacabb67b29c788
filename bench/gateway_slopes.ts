/** Cost of a gateway fleet without requests, by the number of VMs. */

import process from "node:process";
import { pause } from "../src/runtime/pause.ts";
import { GatewayFleet } from "../tests/fixtures/gateway_fleet.ts";

/** Fleet sizes in VMs, below and above the size from which a fleet uses relays. */
const SIZES = [7, 12, 28, 56];
/** Time for the gateways to discover each other and to start using relays. */
const DISCOVERY_MS = 8_000;
const IDLE_PERIOD_MS = 20_000;
const MS_PER_SECOND = 1_000;

/** Prints calls to the store and CPU time of fleets without requests, in one data centre. */
export async function benchGateways(): Promise<void> {
  const rows: Record<string, object> = {};
  for (const vms of SIZES) rows[`${vms} VMs`] = await idleFleet(vms);
  console.table(rows);
  console.log(
    "All VMs run in one process with the stand-in of the store, whose CPU time is included.",
  );
}

/** Starts a fleet and returns the figures of one row. */
async function idleFleet(vms: number): Promise<object> {
  const fleet = new GatewayFleet();
  try {
    await fleet.start(vms);
    const callsAtStart = fleet.store.calls;
    await pause(DISCOVERY_MS);
    const callsAfterDiscovery = fleet.store.calls;
    const cpuBefore = process.cpuUsage();
    await pause(IDLE_PERIOD_MS);
    const { user, system } = process.cpuUsage(cpuBefore);
    // Microseconds of CPU time per millisecond of wall time equal milliseconds per second.
    const vmMilliseconds = IDLE_PERIOD_MS * vms;
    return {
      "calls until started": callsAtStart,
      "calls to settle": callsAfterDiscovery - callsAtStart,
      "calls a second": (fleet.store.calls - callsAfterDiscovery) /
        (IDLE_PERIOD_MS / MS_PER_SECOND),
      "processor ms a second a VM": round((user + system) / vmMilliseconds),
    };
  } finally {
    await fleet.stop();
  }
}

function round(value: number): number {
  return Math.round(10 * value) / 10;
}
