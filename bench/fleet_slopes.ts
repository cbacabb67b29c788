/** Control-plane cost for each entry, by fleet size and rate of configuration changes. */

import { pause } from "../src/runtime/pause.ts";
import { performance } from "node:perf_hooks";
import { Applier } from "../src/configuration/applier.ts";
import type { Configuration } from "../src/core/config/configuration.ts";
import { HttpPlatform } from "../src/platform/http_platform.ts";
import { SystemClock } from "../src/runtime/clock.ts";
import { Deadline } from "../src/runtime/deadline.ts";
import {
  getJson,
  type RunningEntry,
  TestFleet,
  until,
} from "../tests/fixtures/test_fleet.ts";
import { cpuMs, memoryMb } from "./process_usage.ts";
import {
  largeConfiguration,
  TWO_YEAR_SIZE,
  withChange,
} from "./two_year_size.ts";

const WARM_UP_MS = 4_000;
const IDLE_PERIOD_MS = 10_000;
const CHANGE_COUNT = 20;
const CHANGE_INTERVAL_MS = 500;
const TIMEOUT_MS = 5_000;

/** Resource usage of an entry during a measured period: the mean over all entries and the maximum. */
interface Usage {
  readonly cpuMsPerSecond: number;
  readonly worstCpuMsPerSecond: number;
  readonly memoryMb: number;
  readonly peerBytesPerSecond: number;
  readonly worstPeerBytesPerSecond: number;
  readonly platformBytesPerSecond: number;
  /** Calls by the whole fleet; a pending watch counts as one call. */
  readonly platformCallsPerSecond: number;
}

interface Sample {
  readonly atMs: number;
  readonly cpu: readonly number[];
  readonly peerBytes: readonly number[];
  readonly platformBytes: readonly number[];
  readonly platformCalls: number;
}

/** Measures fleets of the given sizes, without and with configuration changes, and prints the results. */
export async function benchFleet(sizes: readonly number[]): Promise<void> {
  const rows = [];
  for (const size of sizes) {
    const cfg = largeConfiguration();
    const fleet = await startFleet(size, cfg);
    try {
      await pause(WARM_UP_MS);
      const quiet = await measureUsage(fleet, () => pause(IDLE_PERIOD_MS));
      const latencies: number[] = [];
      const change = await measureUsage(fleet, async () => {
        latencies.push(...await applyChanges(fleet, cfg));
      });
      latencies.sort((a, b) => a - b);
      rows.push(resultRow("quiet", { size, usage: quiet }));
      rows.push({
        ...resultRow(`${1_000 / CHANGE_INTERVAL_MS} changes/s`, {
          size,
          usage: change,
        }),
        "in force p50 ms": latencies[Math.floor(latencies.length / 2)],
        "in force worst ms": latencies[latencies.length - 1],
      });
    } finally {
      await fleet.stop();
    }
  }
  console.table(rows);
}

async function startFleet(
  size: number,
  cfg: Configuration,
): Promise<TestFleet> {
  const { backends: _, ...configuration } = cfg;
  const fleet = await TestFleet.start({
    entries: Array.from({ length: size }, (_, index) => ({
      id: `entry-${index}`,
      data_centre: `dc-${index % TWO_YEAR_SIZE.dataCentres}`,
    })),
    backends: [],
    configuration: configuration as unknown as Record<string, unknown>,
    settings: {},
    declaredBackends: cfg.backends as unknown as Record<string, unknown>[],
    probeIntervalMs: 1_000,
  });
  return fleet;
}

/** Applies changes and returns, for each, the time in ms until it was in force on every entry. */
async function applyChanges(
  fleet: TestFleet,
  cfg: Configuration,
): Promise<number[]> {
  const platform = new HttpPlatform({
    url: fleet.platformUrl,
    timeoutMs: TIMEOUT_MS,
  });
  const applier = new Applier({ platform, clock: new SystemClock() });
  const acceptedAtMs = new Map<number, number>();
  for (let change = 0; change < CHANGE_COUNT; change++) {
    const deadline = new Deadline(TIMEOUT_MS);
    const configuration = withChange(cfg, change);
    const outcome = await applier.apply({
      configuration,
      applyId: `change-${change}`,
      deadline,
    });
    deadline.close();
    if (outcome.tag !== "accepted") {
      throw new Error(
        `Configuration change was not accepted; outcome: ${outcome.tag}`,
      );
    }
    acceptedAtMs.set(outcome.revision, Date.now());
    await pause(CHANGE_INTERVAL_MS);
  }
  await platform.close();
  const lastRevision = Math.max(...acceptedAtMs.keys());
  const entries = [...fleet.entries.values()];
  await until(() =>
    Promise.resolve(
      entries.every((entry) => inForceAt(entry, lastRevision) !== undefined),
    )
  );
  return [...acceptedAtMs].map(([revision, atMs]) => {
    const times = entries.map((entry) => inForceAt(entry, revision) ?? 0);
    return Math.max(0, Math.max(...times) - atMs);
  });
}

/** Returns the time at which the entry logged that this or a later revision was in force. */
function inForceAt(entry: RunningEntry, revision: number): number | undefined {
  // The text after the last line break may be an incomplete line.
  const lines = entry.process.stderr.split("\n").slice(0, -1).map((line) =>
    JSON.parse(line)
  );
  const line = lines.find(({ message, context }) =>
    message === "Configuration is in force" && context.revision >= revision
  );
  return line?.time;
}

async function measureUsage(
  fleet: TestFleet,
  action: () => Promise<void>,
): Promise<Usage> {
  const before = await takeSample(fleet);
  await action();
  const after = await takeSample(fleet);
  const seconds = (after.atMs - before.atMs) / 1_000;
  const rates = (figure: "cpu" | "peerBytes" | "platformBytes") =>
    after[figure].map((value, index) =>
      (value - (before[figure][index] ?? 0)) / seconds
    );
  const memory = [...fleet.entries.values()].map(({ process }) =>
    memoryMb(process.pid)
  );
  return {
    cpuMsPerSecond: mean(rates("cpu")),
    worstCpuMsPerSecond: Math.max(...rates("cpu")),
    memoryMb: mean(memory),
    peerBytesPerSecond: mean(rates("peerBytes")),
    worstPeerBytesPerSecond: Math.max(...rates("peerBytes")),
    platformBytesPerSecond: mean(rates("platformBytes")),
    platformCallsPerSecond: (after.platformCalls - before.platformCalls) /
      seconds,
  };
}

async function takeSample(fleet: TestFleet): Promise<Sample> {
  const entries = [...fleet.entries.values()];
  const traffic = await Promise.all(entries.map(readControlBytes));
  const counts = await getJson(`${fleet.platformUrl}/counts`);
  return {
    atMs: performance.now(),
    cpu: entries.map(({ process }) => cpuMs(process.pid)),
    peerBytes: traffic.map(({ peers }) => peers),
    platformBytes: traffic.map(({ platform }) => platform),
    platformCalls: Number(counts.reads) + Number(counts.writes) +
      Number(counts.watches),
  };
}

async function readControlBytes(
  entry: RunningEntry,
): Promise<{ peers: number; platform: number }> {
  const res = await fetch(`http://${entry.operators}/metrics`);
  const text = await res.text();
  const sum = (link: string) =>
    [...text.matchAll(
      new RegExp(`^fieldrack_control_bytes\\{link="${link}".*\\} (\\d+)`, "gm"),
    )]
      .reduce((total, [, bytes]) => total + Number(bytes), 0);
  return { peers: sum("peers"), platform: sum("platform") };
}

function resultRow(
  what: string,
  { size, usage }: { size: number; usage: Usage },
) {
  return {
    entries: size,
    what,
    "CPU ms/s": round(usage.cpuMsPerSecond),
    "worst CPU ms/s": round(usage.worstCpuMsPerSecond),
    "memory MB": round(usage.memoryMb),
    "peer B/s": Math.round(usage.peerBytesPerSecond),
    "worst peer B/s": Math.round(usage.worstPeerBytesPerSecond),
    "platform B/s": Math.round(usage.platformBytesPerSecond),
    "platform calls/s": round(usage.platformCallsPerSecond),
  };
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function round(value: number): number {
  return Math.round(value * 10) / 10;
}
