/** `fieldrack demo`. */

import process from "node:process";
import type { CommandModule } from "yargs";
import { DemoFleet } from "../demo/demo_fleet.ts";
import { ExitCode } from "./exit_code.ts";
import { printLine } from "./output.ts";
import { readDirectory } from "./read_directory.ts";

interface Arguments {
  readonly config: string[];
}

/** Starts both users' example configurations on loopback. */
export const demoCommand: CommandModule<object, Arguments> = {
  command: "demo",
  describe: "Run stand-ins and three entries for each example, on loopback",
  builder: (args) =>
    args.option("config", {
      type: "string",
      array: true,
      default: ["examples/garden", "examples/inspection"],
      describe: "Configuration directories, a fleet each",
    }),
  handler: async ({ config }) => {
    // All are read before the first starts, so that a bad one leaves nothing running.
    const configurations = config.map((directory) =>
      readDirectory(directory, { json: false })
    );
    if (configurations.includes(undefined)) return;
    const fleets: DemoFleet[] = [];
    for (const [at, cfg] of configurations.entries()) {
      if (cfg === undefined) continue;
      const fleet = new DemoFleet(cfg);
      const { platform, entries } = await fleet.start();
      fleets.push(fleet);
      printLine(`\n${config[at]}: platform stand-in ${platform}`);
      for (const { id, dataCentre, callers, operators } of entries) {
        printLine(
          `  ${id} in ${dataCentre}: callers ${callers}, operators ${operators}`,
        );
      }
      const account = cfg.accounts[0];
      if (account === undefined) continue;
      printLine(`  curl http://${entries[0]?.callers}/v1/chat/completions \\`);
      printLine(`    -H 'Authorization: Bearer demo-${account.id}' \\`);
      printLine(`    -d '${exampleBody(account.models[0] ?? "")}'`);
    }
    printLine("\nRunning; Ctrl-C ends it");
    const stop = () => {
      void Promise.all(fleets.map((fleet) => fleet.stop())).then(() =>
        process.exit(ExitCode.Done)
      );
    };
    process.once("SIGINT", stop);
    process.once("SIGTERM", stop);
  },
};

function exampleBody(model: string): string {
  const messages = [{ role: "user", content: "Why do calamansi leaves curl?" }];
  return JSON.stringify({ model, messages });
}
