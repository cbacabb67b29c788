/** Cost of one choice of a server, by the number of servers. */

import { performance } from "node:perf_hooks";
import type { DataCentreId } from "../src/core/ids.ts";
import { AffinityChoice } from "../src/core/routing/affinity_choice.ts";
import { PromptHolders } from "../src/core/routing/prompt_holders.ts";
import { ServerLoads } from "../src/core/servers/server_loads.ts";
import type { ServerRecord } from "../src/core/servers/server_record.ts";
import { unitHash } from "../src/runtime/hashing.ts";
import { serverRecord } from "../tests/fixtures/server_record.ts";

const SIZES: readonly number[] = [8, 100, 550];
const DATA_CENTRES = 3;
const CHOICES = 2_000;
/** Prompts that the choices are for; some ten of each. */
const PROMPTS = 200;
const SHARED_MS = 300;
const US_PER_MS = 1_000;

/** Prints the time of a choice, for prompts that a server holds and that none holds. */
export function benchChoice(): void {
  const rows = SIZES.map((size) => [
    `${size} servers`,
    {
      "held, µs": microseconds(size, { held: true }),
      "not held, µs": microseconds(size, { held: false }),
    },
  ]);
  console.table(Object.fromEntries(rows));
}

function microseconds(size: number, { held }: { held: boolean }): number {
  const candidates = Array.from({ length: size }, (_, at) => server(at));
  const promptHolders = new PromptHolders();
  const choice = new AffinityChoice({
    serverLoads: new ServerLoads(),
    promptHolders,
    unitHash,
    chance: () => 0.5,
  });
  const choose = (n: number) => {
    const affinity = `prompt-${n % PROMPTS}`;
    const chosen = choice.choose({
      candidates,
      affinity,
      sharedMs: SHARED_MS,
      dataCentre: "dc-0" as DataCentreId,
      tried: new Set(),
      rateLimited: [],
      nowMs: 0,
    });
    if (!held || chosen === undefined) return;
    promptHolders.recordSent({ key: affinity, instance: chosen.instance }, 0);
  };
  for (let n = 0; n < CHOICES; n++) choose(n);
  const startedMs = performance.now();
  for (let n = 0; n < CHOICES; n++) choose(n);
  const ms = performance.now() - startedMs;
  return Math.round(US_PER_MS * ms / CHOICES * 10) / 10;
}

function server(at: number): ServerRecord {
  return serverRecord(`i-${at}`, {
    dataCentre: `dc-${at % DATA_CENTRES}` as DataCentreId,
    slots: 64,
  });
}
