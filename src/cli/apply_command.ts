/** The `fieldrack apply DIR` command. */

import { randomUUID } from "node:crypto";
import process from "node:process";
import type { CommandModule } from "yargs";
import { Applier, type ApplyOutcome } from "../configuration/applier.ts";
import type { Revision } from "../core/ids.ts";
import { SystemClock } from "../runtime/clock.ts";
import { Deadline } from "../runtime/deadline.ts";
import { ExitCode } from "./exit_code.ts";
import { printError, printJson, printLine } from "./output.ts";
import { readDirectory } from "./read_directory.ts";
import { platformOption, withPlatform } from "./platform_option.ts";

const MS_PER_SECOND = 1_000;

interface Arguments {
  readonly directory: string;
  readonly platform: string;
  readonly json: boolean;
  readonly expect?: number;
  readonly "apply-id": string;
  readonly timeout: number;
}

/** Applies all files of a configuration directory as one revision. */
export const applyCommand: CommandModule<object, Arguments> = {
  command: "apply <directory>",
  describe: "Apply a directory of configuration files as one revision",
  builder: (args) =>
    args.positional("directory", { type: "string", demandOption: true })
      .option("platform", platformOption)
      .option("expect", {
        type: "number",
        describe: "Revision that must be in force, as printed by `diff`",
      })
      .option("apply-id", {
        type: "string",
        default: randomUUID(),
        defaultDescription: "a new id",
        describe: "Id of an earlier apply, to find out whether it took effect",
      })
      .option("timeout", {
        type: "number",
        default: 15,
        describe: "Seconds to keep retrying while the platform is unreachable",
      })
      .option("json", {
        type: "boolean",
        default: false,
        describe: "Print JSON",
      })
      .example(
        "$0 apply examples/garden --platform http://10.0.0.9:9000",
        "Apply the garden centre example",
      ),
  handler: async (args) => {
    const cfg = readDirectory(args.directory, args);
    if (cfg === undefined) return;
    const deadline = new Deadline(args.timeout * MS_PER_SECOND);
    const outcome = await withPlatform(
      args.platform,
      (platform) =>
        new Applier({ platform, clock: new SystemClock() }).apply({
          configuration: cfg,
          applyId: args["apply-id"],
          expectedRevision: args.expect as Revision | undefined,
          deadline,
        }),
    );
    deadline.close();
    process.exitCode = exitCodeOf(outcome);
    if (args.json) printJson({ ...outcome, apply_id: args["apply-id"] });
    else if (process.exitCode === ExitCode.Done) {
      printLine(describe(outcome, args));
    } else printError(describe(outcome, args));
  },
};

function exitCodeOf(outcome: ApplyOutcome): number {
  switch (outcome.tag) {
    case "accepted":
    case "unchanged":
      return ExitCode.Done;
    case "conflict":
      return ExitCode.Conflict;
    case "unavailable":
      return ExitCode.Unreachable;
    case "unknown":
      return ExitCode.Unknown;
  }
}

function describe(outcome: ApplyOutcome, args: Arguments): string {
  switch (outcome.tag) {
    case "accepted":
      return `Accepted as revision ${outcome.revision}`;
    case "unchanged":
      return `Unchanged; revision ${outcome.revision} is in force`;
    case "conflict":
      return `Conflict: this apply was based on revision ${outcome.basedOn}, but revision ` +
        `${outcome.current} is in force; nothing was applied; run diff, then apply again`;
    case "unavailable":
      return `Nothing was applied: ${outcome.reason}; retry when the platform is reachable`;
    case "unknown":
      return `Outcome is unknown: ${outcome.reason}; run the same command with ` +
        `--apply-id ${args["apply-id"]} to find out whether it took effect`;
  }
}
