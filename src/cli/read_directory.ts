/** Reads the configuration directory given to a command and prints its problems. */

import process from "node:process";
import type { Configuration } from "../core/config/configuration.ts";
import { readConfigurationDirectory } from "../files/configuration_directory.ts";
import { ExitCode } from "./exit_code.ts";
import { printProblems } from "./output.ts";

/** Returns the configuration, or prints the problems, sets the exit code and returns undefined. */
export function readDirectory(
  directory: string,
  { json }: { json: boolean },
): Configuration | undefined {
  const cfg = readConfigurationDirectory(directory);
  if (cfg.ok) return cfg.value;
  printProblems(cfg.error, { json });
  process.exitCode = ExitCode.Failed;
  return undefined;
}
