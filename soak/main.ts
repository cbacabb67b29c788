/** `npm run soak`: plays seeds and reports violations. */

import { readFileSync } from "node:fs";
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { parse } from "yaml";
import { knownRedLine, readKnownRed } from "../scripts/known_red.ts";
import type { SoakResult } from "./soak_run.ts";
import { runSeed } from "./soak_run.ts";
import { PHASES } from "./soak_settings.ts";

/** Seeds that once violated a promise, with the cause. */
const REGRESSIONS = "soak/regressions.yaml";
const MS_PER_SECOND = 1_000;
const SECONDS_PER_MINUTE = 60;
const MAX_PRINTED_VIOLATIONS = 10;
/** Random seeds are below this, so that they are easy to type. */
const MAX_SEED = 1_000_000;

const options = await yargs(hideBin(process.argv))
  .scriptName("npm run soak --")
  .option("seed", { type: "number", describe: "Play this seed only" })
  .option("first", { type: "number", default: 1, describe: "First seed" })
  .option("seeds", {
    type: "number",
    describe: "Number of consecutive seeds to play, from --first on",
  })
  .option("minutes", {
    type: "number",
    describe: "Play random seeds for this many minutes",
  })
  .option("regressions", {
    type: "boolean",
    default: false,
    describe: `Also play the seeds of ${REGRESSIONS}`,
  })
  .option("seconds", {
    default: 15,
    describe: "Duration of the fault phase of a seed, in seconds",
  })
  .option("gateways", { default: 5, describe: "Number of gateway processes" })
  .option("servers", { default: 4, describe: "Number of backend servers" })
  .option("callers", { default: 12, describe: "Number of concurrent callers" })
  .option("phases", {
    choices: PHASES,
    array: true,
    default: [...PHASES],
    describe: "Groups of faults to play after the drawn ones",
  })
  .option("folder", {
    default: "target/soak",
    describe: "Folder for settings and logs of the processes",
  })
  .strict()
  .parse();

const size = {
  gateways: options.gateways,
  servers: options.servers,
  callers: options.callers,
  runMs: options.seconds * MS_PER_SECOND,
  phases: options.phases,
};

async function main(): Promise<void> {
  let failed = 0;
  let passed = 0;
  let knownRed = 0;
  for (const seed of seedsToPlay()) {
    const result = await play(seed);
    report(result);
    if (result.violations.length === 0) passed += 1;
    else if (isKnownRed(result)) knownRed += 1;
    else failed += 1;
  }
  if (knownRed > 0) {
    console.log(`${knownRed} known red, neither passed nor counted as failed`);
  }
  console.log(`${passed} passed, ${failed} failed`);
  process.exit(failed === 0 ? 0 : 1);
}

function* seedsToPlay(): Generator<number> {
  if (options.regressions) {
    const known = parse(readFileSync(REGRESSIONS, "utf8")) as {
      seed: number;
    }[];
    for (const { seed } of known ?? []) yield seed;
  }
  if (options.seed !== undefined) yield options.seed;
  for (let n = 0; n < (options.seeds ?? 0); n++) yield options.first + n;
  const minutes = options.minutes ?? 0;
  const untilMs = Date.now() + minutes * SECONDS_PER_MINUTE * MS_PER_SECOND;
  while (Date.now() < untilMs) yield Math.floor(Math.random() * MAX_SEED);
}

function play(seed: number): Promise<SoakResult> {
  return runSeed(seed, { size, folder: `${options.folder}/${seed}` });
}

/** Whether a seed has violated only promises that are listed for it; prints their lines. */
function isKnownRed({ seed, violations }: SoakResult): boolean {
  const lines = readKnownRed();
  const promises = [...new Set(violations.map(({ promise }) => promise))];
  const known = promises.map((promise) =>
    knownRedLine(lines, { kind: "soak", name: `seed ${seed}, ${promise}` })
  );
  if (known.includes(undefined)) return false;
  for (const line of known) console.log(`  KNOWN RED, passed over: ${line}`);
  return true;
}

function report(result: SoakResult): void {
  const { seed, requests, answered, faults, violations } = result;
  const outcome = violations.length === 0
    ? "holds"
    : `BROKEN (${violations.length})`;
  console.log(
    `seed ${seed} | ${requests} requests, ${answered} answered | ` +
      `${faults.length} faults: ${formatFaultCounts(result)} | ${outcome}`,
  );
  for (
    const { promise, detail } of violations.slice(0, MAX_PRINTED_VIOLATIONS)
  ) {
    console.log(`  ${promise}: ${detail}`);
  }
}

function formatFaultCounts({ faults }: SoakResult): string {
  const counts = new Map<string, number>();
  for (const { fault } of faults) {
    counts.set(fault.tag, (counts.get(fault.tag) ?? 0) + 1);
  }
  return [...counts].map(([tag, count]) => `${tag} ${count}`).join(", ");
}

await main();
