/** The `fieldrack entry` command. */

import process from "node:process";
import type { CommandModule } from "yargs";
import { EntryProcess } from "../entry/entry_process.ts";
import { readSettings } from "../files/settings_file.ts";
import { ProcessLogger } from "../runtime/logger.ts";
import { disableWasmOptimization } from "../runtime/v8_flags.ts";
import { ExitCode } from "./exit_code.ts";
import { printError, printJson, printProblems } from "./output.ts";

interface Arguments {
  readonly config: string;
}

/** Runs an entry until a signal stops it. */
export const entryCommand: CommandModule<object, Arguments> = {
  command: "entry",
  describe: "Run an entry, the long-running process that serves callers",
  builder: (args) =>
    args.option("config", {
      alias: "c",
      type: "string",
      demandOption: true,
      describe: "Settings file",
    })
      .example("$0 entry -c entry.yaml", "Run an entry")
      .epilogue(
        "SIGTERM drains the entry: callers that still use its address are served.\n" +
          "A second SIGTERM, or SIGINT, stops it once the requests in flight have ended.",
      ),
  handler: async ({ config }) => {
    const loaded = readSettings(config);
    if (!loaded.ok) {
      printProblems(loaded.error, { json: false });
      process.exitCode = ExitCode.Failed;
      return;
    }
    disableWasmOptimization();
    const { id, data_centre } = loaded.value.settings.entry;
    const logger = new ProcessLogger({ entry: id, data_centre });
    const entry = new EntryProcess({ ...loaded.value, logger });
    try {
      printJson({ listening: await entry.start() });
    } catch (err) {
      printError(
        `Entry cannot start: ${
          (err as Error).message
        }; check listen in ${config}`,
      );
      process.exit(ExitCode.Failed);
    }
    stopOnSignals(entry);
  },
};

function stopOnSignals(entry: EntryProcess): void {
  let draining = false;
  const exit = () => process.exit(ExitCode.Done);
  process.on("SIGTERM", () => {
    void (draining ? entry.stop() : entry.drain()).then(exit);
    draining = true;
  });
  process.on("SIGINT", () => void entry.stop().then(exit));
}
