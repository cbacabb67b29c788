/** The `fieldrack diff DIR` command. */

import process from "node:process";
import type { CommandModule } from "yargs";
import { ConfigurationLoader } from "../configuration/configuration_loader.ts";
import { readHead } from "../configuration/head_reader.ts";
import {
  type Change,
  diffConfigurations,
} from "../core/config/configuration_diff.ts";
import {
  type Configuration,
  EMPTY_CONFIGURATION,
} from "../core/config/configuration.ts";
import { ConfigurationStore } from "../core/config/configuration_store.ts";
import { NO_REVISION, type Revision } from "../core/ids.ts";
import { fail, ok, type Result } from "../core/result.ts";
import { describePlatformError, type Platform } from "../platform/platform.ts";
import { ExitCode } from "./exit_code.ts";
import { printError, printJson, printLine } from "./output.ts";
import { readDirectory } from "./read_directory.ts";
import { platformOption, withPlatform } from "./platform_option.ts";

const CHANGE_SIGNS: Record<Change["kind"], string> = {
  added: "+",
  removed: "-",
  changed: "~",
};

interface Arguments {
  readonly directory: string;
  readonly platform: string;
  readonly json: boolean;
}

interface AcceptedConfiguration {
  readonly revision: Revision;
  readonly configuration: Configuration;
}

/** Compares a directory with the configuration in force. */
export const diffCommand: CommandModule<object, Arguments> = {
  command: "diff <directory>",
  describe: "Show what applying a directory would change",
  builder: (args) =>
    args.positional("directory", { type: "string", demandOption: true })
      .option("platform", platformOption)
      .option("json", {
        type: "boolean",
        default: false,
        describe: "Print JSON",
      })
      .example(
        "$0 diff examples/garden --platform http://10.0.0.9:9000",
        "Compare the example with the configuration in force",
      ),
  handler: async (args) => {
    const cfg = readDirectory(args.directory, args);
    if (cfg === undefined) return;
    const accepted = await withPlatform(
      args.platform,
      readAcceptedConfiguration,
    );
    if (!accepted.ok) {
      printError(accepted.error);
      process.exitCode = ExitCode.Unreachable;
      return;
    }
    const { revision, configuration } = accepted.value;
    const changes = diffConfigurations(configuration, cfg);
    if (args.json) return printJson({ revision, changes });
    for (const { kind, section, id } of changes) {
      printLine(`${CHANGE_SIGNS[kind]} ${section} ${id}`);
    }
    printLine(`${changes.length} change(s) from revision ${revision}`);
  },
};

async function readAcceptedConfiguration(
  platform: Platform,
): Promise<Result<AcceptedConfiguration, string>> {
  const record = await readHead(platform);
  if (!record.ok) return fail(describePlatformError(record.error));
  const { head } = record.value;
  if (head === undefined) {
    return ok({ revision: NO_REVISION, configuration: EMPTY_CONFIGURATION });
  }
  const configurationStore = new ConfigurationStore();
  const loader = new ConfigurationLoader({ platform, configurationStore });
  const loaded = await loader.load(head);
  if (!loaded.ok) return loaded;
  return ok({
    revision: head.revision,
    configuration: loaded.value.configuration,
  });
}
