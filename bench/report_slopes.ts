/** What load reports cost an entry. */

import { pause } from "../src/runtime/pause.ts";
import { TestFleet } from "../tests/fixtures/test_fleet.ts";
import { cpuMs } from "./process_usage.ts";

const SERVERS = [1, 8];
const SETTLE_MS = 4_000;
const QUIET_MS = 10_000;

/** Prints the processor time of one load report, from a quiet entry with few and many servers. */
export async function benchReports(): Promise<void> {
  const used: number[] = [];
  for (const servers of SERVERS) used.push(await quietCpu(servers));
  const [few = 0, many = 0] = used;
  const [fewServers = 0, manyServers = 0] = SERVERS;
  console.table({
    [`quiet entry, ${fewServers} report a second`]: {
      value: few,
      unit: "ms/s",
    },
    [`quiet entry, ${manyServers} reports a second`]: {
      value: many,
      unit: "ms/s",
    },
    "one load report": {
      value: Math.round((many - few) / (manyServers - fewServers) * 1_000),
      unit: "us of processor time",
    },
  });
}

async function quietCpu(servers: number): Promise<number> {
  const fleet = await TestFleet.start({
    entries: [{ id: "entry-1", data_centre: "qc-hall" }],
    backends: Array.from({ length: servers }, (_, at) => ({
      id: `model-${at}`,
      data_centre: "qc-hall",
      version: "m@v1",
    })),
    configuration: {
      models: [{ id: "m", stable: "v1", versions: [{ id: "v1" }] }],
    },
  });
  try {
    await pause(SETTLE_MS);
    const { pid } = fleet.entry("entry-1").process;
    const before = cpuMs(pid);
    await pause(QUIET_MS);
    return (cpuMs(pid) - before) / QUIET_MS * 1_000;
  } finally {
    await fleet.stop();
  }
}
