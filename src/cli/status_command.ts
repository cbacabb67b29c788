/** `fieldrack status`. */

import process from "node:process";
import type { CommandModule } from "yargs";
import { ExitCode } from "./exit_code.ts";
import { fetchStatus } from "./operator_client.ts";
import { printError, printJson, printTable } from "./output.ts";

interface Arguments {
  readonly entry: string[];
  readonly json: boolean;
}

/** Shows entries and the revision in force on each. */
export const statusCommand: CommandModule<object, Arguments> = {
  command: "status",
  describe: "Show entries, as those asked see them",
  builder: (args) =>
    args.option("entry", {
      type: "string",
      array: true,
      demandOption: true,
      describe: "Operators' address of an entry, IP:port; may be repeated",
    })
      .option("json", {
        type: "boolean",
        default: false,
        describe: "Print JSON",
      })
      .example("$0 status --entry 10.0.0.5:8082", "Ask one entry"),
  handler: async ({ entry, json }) => {
    const answers = await Promise.all(entry.map(fetchStatus));
    const statuses = answers.flatMap((answer) =>
      answer.ok ? [answer.value] : []
    );
    const errors = answers.flatMap((answer) => answer.ok ? [] : [answer.error]);
    if (json) printJson({ statuses, errors });
    else {
      const rows = statuses.flatMap((status) =>
        status.members.map((member) => [
          status.entry,
          member.id,
          member.data_centre,
          member.state,
          String(member.revision),
          member.callers,
        ])
      );
      const titles = [
        "SEEN BY",
        "ENTRY",
        "DATA CENTRE",
        "STATE",
        "REVISION",
        "ADDRESS",
      ];
      if (rows.length > 0) printTable([titles, ...rows]);
      for (const err of errors) printError(err);
    }
    if (errors.length > 0) process.exitCode = ExitCode.Unreachable;
  },
};
