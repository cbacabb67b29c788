/** `fieldrack gateway`. */

import { readFileSync, watchFile } from "node:fs";
import process from "node:process";
import type { CommandModule } from "yargs";
import { fail, type Result } from "../core/result.ts";
import { GatewayProcess } from "../gateway/gateway_process.ts";
import { describeDecodeError } from "../platform/decode_error.ts";
import {
  decodeVmSettings,
  SETTINGS_ENV_VAR,
  type VmSettings,
} from "../platform/vm_settings_wire.ts";
import { LineWriter, openNonBlocking } from "../runtime/line_writer.ts";
import { ProcessLogger } from "../runtime/logger.ts";
import { ExitCode } from "./exit_code.ts";
import { printError } from "./output.ts";

const STANDARD_OUTPUT = 1;
/** Time between looks at the settings file, which changes rarely. */
const SETTINGS_CHECK_MS = 5_000;

interface Arguments {
  readonly settings?: string;
}

/** Runs a VM of the users' platform until it is told to stop. */
export const gatewayCommand: CommandModule<object, Arguments> = {
  command: "gateway",
  describe: "Run a VM on the users' platform",
  builder: (args) =>
    args.option("settings", {
      type: "string",
      describe:
        `Settings file; by default the one that ${SETTINGS_ENV_VAR} names`,
    })
      .example("$0 gateway", "Run by the platform's settings")
      .epilogue("SIGTERM stops as planned. SIGHUP reads the settings again."),
  handler: ({ settings }) => runGateway(settings),
};

/** Runs a gateway by a settings file. */
export async function runGateway(
  path = process.env[SETTINGS_ENV_VAR],
): Promise<void> {
  if (path === undefined) {
    printError(`Name a settings file with --settings or ${SETTINGS_ENV_VAR}`);
    process.exit(ExitCode.Usage);
  }
  const settings = readVmSettings(path);
  if (!settings.ok) {
    printError(settings.error);
    process.exit(ExitCode.Failed);
  }
  const { vm, dataCentre } = settings.value;
  const logger = new ProcessLogger(
    { vm, data_centre: dataCentre },
    new LineWriter(openNonBlocking(STANDARD_OUTPUT)),
  );
  const gateway = new GatewayProcess({ vmSettings: settings.value, logger });
  process.on("SIGTERM", () => {
    void gateway.drain().then(() => process.exit(ExitCode.Done));
  });
  const reload = () => {
    const changed = readVmSettings(path);
    if (changed.ok) gateway.reload(changed.value);
    else {
      logger.warn("Settings are not understood; the last ones stay", {
        reason: changed.error,
      });
    }
  };
  process.on("SIGHUP", reload);
  // The file may change without a signal.
  watchFile(path, { interval: SETTINGS_CHECK_MS, persistent: false }, reload);
  await gateway.start();
}

/** Reads a settings file; the error says what is wrong and where. */
function readVmSettings(path: string): Result<VmSettings, string> {
  let text: string;
  try {
    text = readFileSync(path, "utf8");
  } catch (err) {
    return fail(`Settings cannot be read: ${(err as Error).message}`);
  }
  const decoded = decodeVmSettings(text);
  if (decoded.ok) return decoded;
  return fail(`${path}: ${describeDecodeError(decoded.error)}`);
}
