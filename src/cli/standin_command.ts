/**
 * The `fieldrack standin` command, which runs a stand-in of an external system as its own
 * process.
 */

import process from "node:process";
import type { CommandModule } from "yargs";
import { ModelServerStandin } from "../standins/model_server_standin.ts";
import { PlainServiceStandin } from "../standins/plain_service_standin.ts";
import { PlatformStandin } from "../standins/platform_standin.ts";
import { RatingStandin } from "../standins/rating_standin.ts";
import { printJson } from "./output.ts";

interface Arguments {
  readonly kind: "platform" | "model" | "service" | "rating";
  readonly listen: string;
  readonly version: string[];
  readonly slots: number;
  readonly "token-ms": number;
  readonly "prefill-ms": number;
  readonly "report-lag-ms": number;
}

/** Runs one stand-in; for tests and trials only. */
export const standinCommand: CommandModule<object, Arguments> = {
  command: "standin <kind>",
  describe: "Run a stand-in of an external system, for tests and trials",
  builder: (args) =>
    args.positional("kind", {
      choices: ["platform", "model", "service", "rating"] as const,
      demandOption: true,
    })
      .option("listen", {
        type: "string",
        default: "127.0.0.1:0",
        describe: "Address to listen on, IP:port; port 0 picks a free one",
      })
      .version(false)
      .option("version", {
        type: "string",
        array: true,
        default: [] as string[],
        describe:
          "Version that a model server serves and its quality, as model@version=0.9",
      })
      .option("slots", {
        type: "number",
        default: 16,
        describe: "Number of requests that a model server handles concurrently",
      })
      .option("token-ms", {
        type: "number",
        default: 5,
        describe: "Time between tokens, in milliseconds",
      })
      .option("prefill-ms", {
        type: "number",
        default: 0.05,
        describe: "Time to process one prompt token, in milliseconds",
      })
      .option("report-lag-ms", {
        type: "number",
        default: 500,
        describe: "Refresh interval of load reports, in milliseconds",
      }),
  handler: async (args) => {
    const url = await createStandin(args).listen(args.listen);
    printJson({ listening: url });
    process.on("SIGTERM", () => process.exit(0));
  },
};

function createStandin(
  args: Arguments,
): { listen(address: string): Promise<string> } {
  switch (args.kind) {
    case "platform":
      return new PlatformStandin();
    case "service":
      return new PlainServiceStandin();
    case "rating":
      return new RatingStandin();
    case "model":
      return new ModelServerStandin({
        slots: args.slots,
        tokenMs: args["token-ms"],
        prefillMsPerToken: args["prefill-ms"],
        reportIntervalMs: args["report-lag-ms"],
        qualities: parseQualities(args.version),
      });
  }
}

function parseQualities(versions: readonly string[]): Map<string, number> {
  return new Map(versions.map((text) => {
    const [name = "", quality = "1"] = text.split("=");
    return [name, Number(quality)];
  }));
}
