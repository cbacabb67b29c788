/** Overhead of an entry: latency and CPU time compared with the same load sent directly to the stand-in. */

import {
  hashKey,
  type RunningEntry,
  TestFleet,
} from "../tests/fixtures/test_fleet.ts";
import {
  LoadGenerator,
  type LoadTarget,
  percentileMs,
} from "./load_generator.ts";
import { cpuMs, memoryMb } from "./process_usage.ts";

const API_KEY = "key-of-the-bench";
const CALLER_COUNT = 64;
const WARM_UP_MS = 2_000;
const RUN_MS = 4_000;
/** Runs through the entry and directly, which alternate; the medians are printed. */
const RUN_COUNT = 3;
const PERCENTILES = [50, 95, 99];
const PROMPT = "Why do calamansi leaves curl in the dry season? ".repeat(8);
const MAX_TOKENS = 32;

/** Results for one response format and path: through the entry, or directly to the stand-in. */
interface Row {
  readonly form: "JSON" | "SSE";
  readonly way: "entry" | "straight";
  readonly topPerSecond: number;
  /** Request rate of the open loop: half of the maximum rate through the entry. */
  readonly perSecond: number;
  readonly failed: number;
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly p99Ms: number;
  /** CPU time of the entry for each request. */
  readonly cpuUs: number;
  readonly memoryMb: number;
}

/** Runs the benchmark and prints the results as a table, or as JSON. */
export async function benchOverhead(
  { json }: { json: boolean },
): Promise<void> {
  const fleet = await startFleet();
  try {
    const rows: Row[] = [];
    for (const form of ["JSON", "SSE"] as const) {
      rows.push(...await measureForm(fleet, form));
    }
    if (json) console.log(JSON.stringify(rows));
    else printTable(rows);
  } finally {
    await fleet.stop();
  }
}

function startFleet(): Promise<TestFleet> {
  const model = { id: "m", stable: "v1", versions: [{ id: "v1" }] };
  return TestFleet.start({
    entries: [{ id: "entry-1", data_centre: "qc-hall" }],
    backends: [1, 2].map((index) => ({
      id: `model-${index}`,
      data_centre: "qc-hall",
      version: "m@v1",
      tokenMs: 0,
      slots: 512,
    })),
    configuration: {
      accounts: [{
        id: "a",
        keys: [hashKey(API_KEY)],
        models: ["m"],
        max_in_flight: 10_000,
      }],
      models: [model],
    },
  });
}

async function measureForm(
  fleet: TestFleet,
  form: Row["form"],
): Promise<Row[]> {
  const entry = fleet.entry("entry-1");
  const straight = fleet.backends.get("model-1");
  const targets = {
    entry: createTarget(`http://${entry.callers}`, { model: "m", form }),
    straight: createTarget(straight?.url ?? "", { model: "m@v1", form }),
  };
  const generators = {
    entry: new LoadGenerator(targets.entry, CALLER_COUNT),
    straight: new LoadGenerator(targets.straight, CALLER_COUNT),
  };
  const topPerSecond = { entry: 0, straight: 0 };
  for (const way of ["straight", "entry"] as const) {
    await generators[way].closedLoop({
      callers: CALLER_COUNT,
      durationMs: WARM_UP_MS,
    });
    const run = await generators[way].closedLoop({
      callers: CALLER_COUNT,
      durationMs: RUN_MS,
    });
    topPerSecond[way] = run.perSecond;
  }
  const perSecond = topPerSecond.entry / 2;
  const rows: Record<Row["way"], Row[]> = { straight: [], entry: [] };
  for (let run = 0; run < RUN_COUNT; run++) {
    for (const way of ["straight", "entry"] as const) {
      const figures = await measureOpenLoop(generators[way], {
        perSecond,
        entry,
      });
      rows[way].push({
        form,
        way,
        topPerSecond: topPerSecond[way],
        ...figures,
      });
    }
  }
  await generators.straight.close();
  await generators.entry.close();
  return [medianRow(rows.straight), medianRow(rows.entry)];
}

async function measureOpenLoop(
  generator: LoadGenerator,
  { perSecond, entry }: { perSecond: number; entry: RunningEntry },
): Promise<Omit<Row, "form" | "way" | "topPerSecond">> {
  const cpuBefore = cpuMs(entry.process.pid);
  const run = await generator.openLoop({ perSecond, durationMs: RUN_MS });
  const usedCpuMs = cpuMs(entry.process.pid) - cpuBefore;
  const [p50Ms = 0, p95Ms = 0, p99Ms = 0] = PERCENTILES.map((percentile) =>
    percentileMs(run.latencies, percentile)
  );
  return {
    perSecond: run.perSecond,
    failed: run.failed,
    p50Ms,
    p95Ms,
    p99Ms,
    cpuUs: usedCpuMs * 1_000 / run.latencies.totalCount,
    memoryMb: memoryMb(entry.process.pid),
  };
}

/** Returns the median of each figure over the runs, and the sum of the failures. */
function medianRow(rows: readonly Row[]): Row {
  const medianOf = (figure: (row: Row) => number) => median(rows.map(figure));
  return {
    ...rows[0] as Row,
    perSecond: medianOf((row) => row.perSecond),
    failed: rows.reduce((sum, row) => sum + row.failed, 0),
    p50Ms: medianOf((row) => row.p50Ms),
    p95Ms: medianOf((row) => row.p95Ms),
    p99Ms: medianOf((row) => row.p99Ms),
    cpuUs: medianOf((row) => row.cpuUs),
    memoryMb: medianOf((row) => row.memoryMb),
  };
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((x, y) => x - y);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

function createTarget(
  base: string,
  { model, form }: { model: string; form: Row["form"] },
): LoadTarget {
  const stream = form === "SSE";
  const messages = [{ role: "user", content: PROMPT }];
  const body = JSON.stringify({
    model,
    stream,
    max_tokens: MAX_TOKENS,
    messages,
  });
  return {
    url: `${base}/v1/chat/completions`,
    key: API_KEY,
    body,
    toFirstEvent: stream,
  };
}

function printTable(rows: readonly Row[]): void {
  console.table(rows.map((row) => ({
    form: row.form,
    way: row.way,
    "top req/s": Math.round(row.topPerSecond),
    "at req/s": Math.round(row.perSecond),
    failed: row.failed,
    "p50 ms": row.p50Ms,
    "p95 ms": row.p95Ms,
    "p99 ms": row.p99Ms,
    "entry CPU us/req": row.way === "entry" ? Math.round(row.cpuUs) : "",
    "entry MB": Math.round(row.memoryMb),
  })));
  for (const form of ["JSON", "SSE"]) {
    const [straight, entry] = rows.filter((row) => row.form === form);
    if (straight === undefined || entry === undefined) continue;
    const addedLatency =
      `added p50 ${(entry.p50Ms - straight.p50Ms).toFixed(2)} ms, ` +
      `p99 ${(entry.p99Ms - straight.p99Ms).toFixed(2)} ms`;
    const ratio = (entry.p50Ms / straight.p50Ms).toFixed(2);
    console.log(
      `${form}: ${addedLatency}; p50 ${ratio} times that of the baseline`,
    );
  }
}
