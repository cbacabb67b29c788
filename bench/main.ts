/** Command line of the benchmarks. */

import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { benchChoice } from "./choice_cost.ts";
import { benchCore } from "./core_slopes.ts";
import { benchFleet } from "./fleet_slopes.ts";
import { benchGateways } from "./gateway_slopes.ts";
import { benchOverhead } from "./overhead_bench.ts";
import { benchReports } from "./report_slopes.ts";
import { benchRequests } from "./request_slopes.ts";

void yargs(hideBin(process.argv))
  .scriptName("npm run bench --")
  .option("json", { type: "boolean", default: false, describe: "Print JSON" })
  .command(
    "overhead",
    "Latency and throughput through one entry, compared with direct requests to the stand-in",
    (args) => args,
    ({ json }) => benchOverhead({ json: json === true }),
  )
  .command(
    "slopes [part]",
    "Cost of entries, changes, requests and tokens: the figures of docs/CAPACITY.md",
    (args) =>
      args.positional("part", {
        choices: [
          "choice",
          "core",
          "fleet",
          "gateways",
          "reports",
          "requests",
        ] as const,
      })
        .option("sizes", {
          type: "number",
          array: true,
          default: [3, 7, 14, 28],
        }),
    async ({ part, sizes }) => {
      if (part === undefined || part === "core") benchCore();
      if (part === undefined || part === "choice") benchChoice();
      if (part === undefined || part === "requests") await benchRequests();
      if (part === undefined || part === "reports") await benchReports();
      if (part === undefined || part === "gateways") await benchGateways();
      if (part === undefined || part === "fleet") await benchFleet(sizes);
    },
  )
  .demandCommand(1)
  .strict()
  .parse();
