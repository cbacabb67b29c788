/** CPU cost of one request and of one streamed token for an entry. */

import { hashKey, TestFleet } from "../tests/fixtures/test_fleet.ts";
import { LoadGenerator } from "./load_generator.ts";
import { cpuMs } from "./process_usage.ts";

const API_KEY = "key-of-the-bench";
const CALLER_COUNT = 100;
const RUN_MS = 8_000;
const TOKEN_INTERVAL_MS = 20;
const FEW_TOKENS = 10;
const MANY_TOKENS = 110;

/** Prints the CPU time for each request and for each token, with tokens streamed one by one. */
export async function benchRequests(): Promise<void> {
  const fleet = await TestFleet.start({
    entries: [{ id: "entry-1", data_centre: "qc-hall" }],
    backends: [1, 2].map((index) => ({
      id: `model-${index}`,
      data_centre: "qc-hall",
      version: "m@v1",
      tokenMs: TOKEN_INTERVAL_MS,
      slots: 512,
    })),
    configuration: {
      accounts: [{
        id: "a",
        keys: [hashKey(API_KEY)],
        models: ["m"],
        max_in_flight: 10_000,
      }],
      models: [{ id: "m", stable: "v1", versions: [{ id: "v1" }] }],
    },
  });
  try {
    const fewTokensUs = await measureCpuUsPerRequest(fleet, FEW_TOKENS);
    const manyTokensUs = await measureCpuUsPerRequest(fleet, MANY_TOKENS);
    const usPerToken = (manyTokensUs - fewTokensUs) /
      (MANY_TOKENS - FEW_TOKENS);
    console.table({
      "one streamed token": {
        value: Math.round(usPerToken),
        unit: "us of processor time",
      },
      "one streamed request without its tokens": {
        value: Math.round(fewTokensUs - usPerToken * FEW_TOKENS),
        unit: "us of processor time",
      },
    });
  } finally {
    await fleet.stop();
  }
}

async function measureCpuUsPerRequest(
  fleet: TestFleet,
  tokens: number,
): Promise<number> {
  const entry = fleet.entry("entry-1");
  const messages = [{ role: "user", content: "Why do calamansi leaves curl?" }];
  const generator = new LoadGenerator({
    url: `http://${entry.callers}/v1/chat/completions`,
    key: API_KEY,
    body: JSON.stringify({
      model: "m",
      stream: true,
      max_tokens: tokens,
      messages,
    }),
    toFirstEvent: true,
  }, CALLER_COUNT);
  await generator.closedLoop({ callers: CALLER_COUNT, durationMs: RUN_MS / 4 });
  const cpuBefore = cpuMs(entry.process.pid);
  const run = await generator.closedLoop({
    callers: CALLER_COUNT,
    durationMs: RUN_MS,
  });
  const usedCpuMs = cpuMs(entry.process.pid) - cpuBefore;
  await generator.close();
  if (run.failed > 0) {
    throw new Error(`${run.failed} requests failed; results are invalid`);
  }
  return usedCpuMs * 1_000 / run.latencies.totalCount;
}
