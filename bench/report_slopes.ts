/** CPU cost of load reports for an entry. */

import { pause } from "../src/runtime/pause.ts";
import { TestFleet } from "../tests/fixtures/test_fleet.ts";
import { cpuMs } from "./process_usage.ts";

const SERVERS = [1, 8];
const WARM_UP_MS = 4_000;
const IDLE_PERIOD_MS = 10_000;

/** Prints the CPU time of one load report, as the difference between an idle entry with few and with many servers. */
export async function benchReports(): Promise<void> {
  const rates: number[] = [];
  for (const servers of SERVERS) rates.push(await idleCpuRate(servers));
  const [fewCpu = 0, manyCpu = 0] = rates;
  const [fewServers = 0, manyServers = 0] = SERVERS;
  console.table({
    [`quiet entry, ${fewServers} report a second`]: {
      value: fewCpu,
      unit: "ms/s",
    },
    [`quiet entry, ${manyServers} reports a second`]: {
      value: manyCpu,
      unit: "ms/s",
    },
    "one load report": {
      value: Math.round(
        (manyCpu - fewCpu) / (manyServers - fewServers) * 1_000,
      ),
      unit: "us of processor time",
    },
  });
}

/** Returns the CPU time of an entry without requests, in milliseconds per second. */
async function idleCpuRate(servers: number): Promise<number> {
  const fleet = await TestFleet.start({
    entries: [{ id: "entry-1", data_centre: "qc-hall" }],
    backends: Array.from({ length: servers }, (_, index) => ({
      id: `model-${index}`,
      data_centre: "qc-hall",
      version: "m@v1",
    })),
    configuration: {
      models: [{ id: "m", stable: "v1", versions: [{ id: "v1" }] }],
    },
  });
  try {
    await pause(WARM_UP_MS);
    const { pid } = fleet.entry("entry-1").process;
    const cpuBefore = cpuMs(pid);
    await pause(IDLE_PERIOD_MS);
    return (cpuMs(pid) - cpuBefore) / IDLE_PERIOD_MS * 1_000;
  } finally {
    await fleet.stop();
  }
}
