/** The `fieldrack check DIR` command. */

import type { CommandModule } from "yargs";
import { SECTIONS } from "../core/config/configuration.ts";
import { printJson, printLine } from "./output.ts";
import { readDirectory } from "./read_directory.ts";

interface Arguments {
  readonly directory: string;
  readonly json: boolean;
}

/** Validates a configuration directory without applying it. */
export const checkCommand: CommandModule<object, Arguments> = {
  command: "check <directory>",
  describe: "Validate a directory of configuration files",
  builder: (args) =>
    args.positional("directory", { type: "string", demandOption: true })
      .option("json", {
        type: "boolean",
        default: false,
        describe: "Print JSON",
      })
      .example(
        "$0 check examples/garden",
        "Validate the garden centre example",
      ),
  handler: ({ directory, json }) => {
    const cfg = readDirectory(directory, { json });
    if (cfg === undefined) return;
    const counts = SECTIONS.map((section) =>
      [section, cfg[section].length] as const
    );
    if (json) printJson({ ok: true, counts: Object.fromEntries(counts) });
    else {printLine(`Valid: ${
        counts.map(([name, count]) => `${count} ${name}`).join(", ")
      }`);}
  },
};
