/** Command line parser with all commands of the `fieldrack` program. */

import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { applyCommand } from "./apply_command.ts";
import { checkCommand } from "./check_command.ts";
import { demoCommand } from "./demo_command.ts";
import { diffCommand } from "./diff_command.ts";
import { entryCommand } from "./entry_command.ts";
import { ExitCode } from "./exit_code.ts";
import { gatewayCommand } from "./gateway_command.ts";
import { hashKeyCommand } from "./hash_key_command.ts";
import { standinCommand } from "./standin_command.ts";
import { statusCommand } from "./status_command.ts";

/** Defined by the bundler; absent when run from source. */
declare const FIELDRACK_VERSION: string;

void yargs(hideBin(process.argv))
  .scriptName("fieldrack")
  .version(
    typeof FIELDRACK_VERSION === "string" ? FIELDRACK_VERSION : "development",
  )
  .command(entryCommand)
  .command(gatewayCommand)
  .command(checkCommand)
  .command(diffCommand)
  .command(applyCommand)
  .command(statusCommand)
  .command(hashKeyCommand)
  .command(demoCommand)
  .command(standinCommand)
  .demandCommand(1, "No command given; --help lists the commands")
  .strict()
  .fail((message, err, parser) => {
    process.stderr.write(`${message ?? String(err)}\n`);
    if (err === undefined) parser.showHelp("error");
    process.exit(err === undefined ? ExitCode.Usage : ExitCode.Failed);
  })
  .epilogue(
    "Exit codes: 0 success, 1 rejected or failed, 2 usage error, " +
      "3 conflict with another operator, 4 outcome unknown, 5 unreachable",
  )
  .parse();
