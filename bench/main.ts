/** Measurements; each prints ours, the baseline and the ratio. */

import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { benchOverhead } from "./overhead_bench.ts";

void yargs(hideBin(process.argv))
  .scriptName("npm run bench --")
  .option("json", { type: "boolean", default: false, describe: "Print JSON" })
  .command(
    "overhead",
    "Latency and rate through one entry against the stand-in alone",
    (args) => args,
    ({ json }) => benchOverhead({ json: json === true }),
  )
  .demandCommand(1)
  .strict()
  .parse();
