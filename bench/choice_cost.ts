/** CPU cost of choosing a backend server, by the number of candidate servers. */

import { performance } from "node:perf_hooks";
import type { DataCentreId } from "../src/core/ids.ts";
import { AffinityChoice } from "../src/core/routing/affinity_choice.ts";
import { PromptHolders } from "../src/core/routing/prompt_holders.ts";
import { ServerLoads } from "../src/core/servers/server_loads.ts";
import type { ServerRecord } from "../src/core/servers/server_record.ts";
import { unitHash } from "../src/runtime/hashing.ts";
import { serverRecord } from "../tests/fixtures/server_record.ts";

const SERVER_COUNTS: readonly number[] = [8, 100, 550];
const DATA_CENTRES = 3;
const CHOICE_COUNT = 2_000;
/** Number of distinct prompts, so that each occurs about ten times in a pass. */
const PROMPT_COUNT = 200;
const SHARED_MS = 300;
const US_PER_MS = 1_000;

/** Prints the time of one choice, for prompts whose prefix a server holds in its cache and for others. */
export function benchChoice(): void {
  const rows = SERVER_COUNTS.map((serverCount) => [
    `${serverCount} servers`,
    {
      "held, µs": measureChoiceUs(serverCount, { held: true }),
      "not held, µs": measureChoiceUs(serverCount, { held: false }),
    },
  ]);
  console.table(Object.fromEntries(rows));
}

function measureChoiceUs(
  serverCount: number,
  { held }: { held: boolean },
): number {
  const candidates = Array.from(
    { length: serverCount },
    (_, index) => createServer(index),
  );
  const promptHolders = new PromptHolders();
  const choice = new AffinityChoice({
    serverLoads: new ServerLoads(),
    promptHolders,
    unitHash,
    chance: () => 0.5,
  });
  const chooseServer = (n: number) => {
    const affinity = `prompt-${n % PROMPT_COUNT}`;
    const chosen = choice.choose({
      candidates,
      affinity,
      sharedMs: SHARED_MS,
      dataCentre: "dc-0" as DataCentreId,
      tried: new Set(),
      avoided: new Set(),
      rateLimited: [],
      nowMs: 0,
    });
    if (!held || chosen === undefined) return;
    promptHolders.recordSent({ key: affinity, instance: chosen.instance }, 0);
  };
  for (let n = 0; n < CHOICE_COUNT; n++) chooseServer(n);
  const startedMs = performance.now();
  for (let n = 0; n < CHOICE_COUNT; n++) chooseServer(n);
  const ms = performance.now() - startedMs;
  return Math.round(US_PER_MS * ms / CHOICE_COUNT * 10) / 10;
}

function createServer(index: number): ServerRecord {
  return serverRecord(`i-${index}`, {
    dataCentre: `dc-${index % DATA_CENTRES}` as DataCentreId,
    slots: 64,
  });
}
