/** What one request and one streamed token cost an entry. */

import { hashKey, TestFleet } from "../tests/fixtures/test_fleet.ts";
import { LoadGenerator } from "./load_generator.ts";
import { cpuMs } from "./process_usage.ts";

const KEY = "key-of-the-bench";
const CALLERS = 100;
const RUN_MS = 8_000;
const TOKEN_MS = 20;
const FEW_TOKENS = 10;
const MANY_TOKENS = 110;

/** Prints processor time for each request and each token, sent one by one. */
export async function benchRequests(): Promise<void> {
  const fleet = await TestFleet.start({
    entries: [{ id: "entry-1", data_centre: "qc-hall" }],
    backends: [1, 2].map((at) => ({
      id: `model-${at}`,
      data_centre: "qc-hall",
      version: "m@v1",
      tokenMs: TOKEN_MS,
      slots: 512,
    })),
    configuration: {
      accounts: [{
        id: "a",
        keys: [hashKey(KEY)],
        models: ["m"],
        max_in_flight: 10_000,
      }],
      models: [{ id: "m", stable: "v1", versions: [{ id: "v1" }] }],
    },
  });
  try {
    const few = await cpuForRequest(fleet, FEW_TOKENS);
    const many = await cpuForRequest(fleet, MANY_TOKENS);
    const perToken = (many - few) / (MANY_TOKENS - FEW_TOKENS);
    console.table({
      "one streamed token": {
        value: Math.round(perToken),
        unit: "us of processor time",
      },
      "one streamed request without its tokens": {
        value: Math.round(few - perToken * FEW_TOKENS),
        unit: "us of processor time",
      },
    });
  } finally {
    await fleet.stop();
  }
}

async function cpuForRequest(
  fleet: TestFleet,
  tokens: number,
): Promise<number> {
  const entry = fleet.entry("entry-1");
  const messages = [{ role: "user", content: "Why do calamansi leaves curl?" }];
  const generator = new LoadGenerator({
    url: `http://${entry.callers}/v1/chat/completions`,
    key: KEY,
    body: JSON.stringify({
      model: "m",
      stream: true,
      max_tokens: tokens,
      messages,
    }),
    toFirstEvent: true,
  }, CALLERS);
  await generator.closedLoop({ callers: CALLERS, forMs: RUN_MS / 4 });
  const before = cpuMs(entry.process.pid);
  const run = await generator.closedLoop({ callers: CALLERS, forMs: RUN_MS });
  const used = cpuMs(entry.process.pid) - before;
  await generator.close();
  if (run.failed > 0) {
    throw new Error(`${run.failed} requests failed; the figures are worthless`);
  }
  return used * 1_000 / run.latencies.totalCount;
}
