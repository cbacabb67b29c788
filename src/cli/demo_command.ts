/** The `fieldrack demo` command. */

import process from "node:process";
import type { CommandModule } from "yargs";
import { DemoFleet } from "../demo/demo_fleet.ts";
import { ExitCode } from "./exit_code.ts";
import { printLine } from "./output.ts";
import { readDirectory } from "./read_directory.ts";

interface Arguments {
  readonly config: string[];
}

/** Runs a fleet on loopback for each configuration directory, by default for both examples. */
export const demoCommand: CommandModule<object, Arguments> = {
  command: "demo",
  describe: "Run stand-ins and three entries on loopback for each example",
  builder: (args) =>
    args.option("config", {
      type: "string",
      array: true,
      default: ["examples/garden", "examples/inspection"],
      describe: "Configuration directories; a fleet is started for each",
    }),
  handler: async ({ config }) => {
    // All directories are read before the first fleet starts, so that an invalid one leaves
    // nothing running.
    const configurations = config.map((directory) =>
      readDirectory(directory, { json: false })
    );
    if (configurations.includes(undefined)) return;
    const fleets: DemoFleet[] = [];
    for (const [index, cfg] of configurations.entries()) {
      if (cfg === undefined) continue;
      const fleet = new DemoFleet(cfg);
      const { platform, entries } = await fleet.start();
      fleets.push(fleet);
      printLine(`\n${config[index]}: platform stand-in ${platform}`);
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
    printLine("\nRunning; press Ctrl-C to stop");
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
