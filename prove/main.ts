/** Runs the proofs of the guarantees under faults: all of them, or the one given by name. */

import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { ConfigurationProof } from "./configuration_proof.ts";
import { PlannedStopProof } from "./planned_stop_proof.ts";
import { knownRedLine, readKnownRed } from "../scripts/known_red.ts";
import type { Proof } from "./proof.ts";

const DEFAULT_SEED = 1;
const DEFAULT_ENTRIES = 5;
const MAX_VIOLATIONS_PRINTED = 10;

async function main(): Promise<void> {
  const { seed, entries, history, name: requestedName } = await readArguments();
  const all: readonly Proof[] = [
    new ConfigurationProof({ seed, entries, historyFile: history }),
    new PlannedStopProof(),
  ];
  const proofs = all.filter(({ name }) =>
    requestedName === undefined || requestedName === name
  );
  if (proofs.length === 0) {
    console.error(
      `Unknown proof ${requestedName}; available proofs: ${
        all.map((p) => p.name)
      }`,
    );
    process.exit(2);
  }
  let failed = 0;
  let knownRedCount = 0;
  for (const proof of proofs) {
    if (await runOne(proof)) continue;
    const known = knownRedLine(readKnownRed(), {
      kind: "prove",
      name: proof.name,
    });
    if (known === undefined) failed += 1;
    else knownRedCount += 1;
    if (known !== undefined) console.log(`  KNOWN RED, passed over: ${known}`);
  }
  if (knownRedCount > 0) {
    console.log(
      `${knownRedCount} known red, neither passed nor counted as failed`,
    );
  }
  console.log(
    `${proofs.length - failed - knownRedCount} passed, ${failed} failed`,
  );
  process.exit(failed === 0 ? 0 : 1);
}

async function readArguments(): Promise<
  { seed: number; entries: number; history?: string; name?: string }
> {
  const { seed, entries, history, _: [name] } = await yargs(
    hideBin(process.argv),
  )
    .usage("npm run prove -- [NAME] [--seed N] [--entries N] [--history FILE]")
    .option("seed", {
      type: "number",
      default: DEFAULT_SEED,
      describe: "Seed for the random order and timing of faults",
    })
    .option("entries", {
      type: "number",
      default: DEFAULT_ENTRIES,
      describe: "Number of entries in the configuration proof",
    })
    .option("history", {
      type: "string",
      describe: "File to which the configuration proof writes its events",
    })
    .strictOptions()
    .parse();
  return {
    seed,
    entries,
    history,
    name: name === undefined ? undefined : String(name),
  };
}

async function runOne(proof: Proof): Promise<boolean> {
  const { operations, violations, figures } = await proof.run();
  const result = violations.length === 0
    ? "holds"
    : `BROKEN (${violations.length})`;
  console.log(
    `${proof.guarantee} | ${
      proof.faults.join(", ")
    } | ${operations} operations | ${result}`,
  );
  for (const [name, value] of Object.entries(figures)) {
    console.log(`  ${name}: ${value}`);
  }
  for (const violation of violations.slice(0, MAX_VIOLATIONS_PRINTED)) {
    console.log(`  ${violation}`);
  }
  return violations.length === 0;
}

void main();
