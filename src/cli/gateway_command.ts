/** The `fieldrack gateway` command. */

import { readFileSync, watchFile } from "node:fs";
import process from "node:process";
import type { CommandModule } from "yargs";
import { fail, type Result } from "../core/result.ts";
import { GatewayProcess } from "../gateway/gateway_process.ts";
import { limitProcessMemory } from "../gateway/process_memory.ts";
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

const STDOUT_FD = 1;
/** Poll interval for changes of the settings file, which changes rarely. */
const SETTINGS_POLL_INTERVAL_MS = 5_000;

interface Arguments {
  readonly settings?: string;
}

/** Runs a gateway VM on the users' platform until SIGTERM. */
export const gatewayCommand: CommandModule<object, Arguments> = {
  command: "gateway",
  describe: "Run a gateway VM on the users' platform",
  builder: (args) =>
    args.option("settings", {
      type: "string",
      describe: `Settings file; defaults to the path in ${SETTINGS_ENV_VAR}`,
    })
      .example(
        "$0 gateway",
        "Run with the settings file that the platform provides",
      )
      .epilogue(
        "SIGTERM drains and stops the gateway. SIGHUP reloads the settings.",
      ),
  handler: ({ settings }) => runGateway(settings),
};

/** Runs a gateway with the settings at `path`; reloads them on SIGHUP and when the file changes. */
export async function runGateway(
  path = process.env[SETTINGS_ENV_VAR],
): Promise<void> {
  if (path === undefined) {
    printError(
      `No settings file given; set --settings or ${SETTINGS_ENV_VAR}`,
    );
    process.exit(ExitCode.Usage);
  }
  const settings = readVmSettings(path);
  if (!settings.ok) {
    printError(settings.error);
    process.exit(ExitCode.Failed);
  }
  limitProcessMemory(settings.value);
  const { vm, dataCentre } = settings.value;
  const logger = new ProcessLogger(
    { vm, data_centre: dataCentre },
    new LineWriter(openNonBlocking(STDOUT_FD)),
  );
  const gateway = new GatewayProcess({ vmSettings: settings.value, logger });
  process.on("SIGTERM", () => {
    void gateway.drain().then(() => process.exit(ExitCode.Done));
  });
  const reload = () => {
    const changed = readVmSettings(path);
    if (changed.ok) gateway.reload(changed.value);
    else {
      logger.warn(
        "Settings file cannot be read or is invalid; keeping the previous settings",
        {
          reason: changed.error,
        },
      );
    }
  };
  process.on("SIGHUP", reload);
  // The platform may change the file without sending a signal.
  watchFile(
    path,
    { interval: SETTINGS_POLL_INTERVAL_MS, persistent: false },
    reload,
  );
  await gateway.start();
}

/** Reads a settings file; the error names the problem and its position. */
function readVmSettings(path: string): Result<VmSettings, string> {
  let text: string;
  try {
    text = readFileSync(path, "utf8");
  } catch (err) {
    return fail(`Settings file cannot be read: ${(err as Error).message}`);
  }
  const decoded = decodeVmSettings(text);
  if (decoded.ok) return decoded;
  return fail(`${path}: ${describeDecodeError(decoded.error)}`);
}
