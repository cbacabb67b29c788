/** The `fieldrack status` command. */

import process from "node:process";
import type { CommandModule } from "yargs";
import { ExitCode } from "./exit_code.ts";
import { fetchStatus } from "./operator_client.ts";
import { printError, printJson, printTable } from "./output.ts";

interface Arguments {
  readonly entry: string[];
  readonly json: boolean;
}

/** Prints the members that each given entry sees, with the state and revision of each. */
export const statusCommand: CommandModule<object, Arguments> = {
  command: "status",
  describe: "Show all entries, as seen by the given ones",
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
      .example(
        "$0 status --entry 10.0.0.5:8082",
        "Show the fleet as one entry sees it",
      ),
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
      const header = [
        "SEEN BY",
        "ENTRY",
        "DATA CENTRE",
        "STATE",
        "REVISION",
        "ADDRESS",
      ];
      if (rows.length > 0) printTable([header, ...rows]);
      for (const err of errors) printError(err);
    }
    if (errors.length > 0) process.exitCode = ExitCode.Unreachable;
  },
};
