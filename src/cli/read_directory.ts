/** Reads the directory that a command names, and reports what is wrong with it. */

import process from "node:process";
import type { Configuration } from "../core/config/configuration.ts";
import { readConfigurationDirectory } from "../files/configuration_directory.ts";
import { ExitCode } from "./exit_code.ts";
import { printProblems } from "./output.ts";

/** Returns the configuration; without one the problems and the exit code are set. */
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
