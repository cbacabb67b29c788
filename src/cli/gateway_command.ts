/** `fieldrack gateway`. */

import { readFileSync } from "node:fs";
import process from "node:process";
import type { CommandModule } from "yargs";
import { GatewayProcess } from "../gateway/gateway_process.ts";
import { describeDecodeError } from "../platform/decode_error.ts";
import {
  decodeVmSettings,
  SETTINGS_VARIABLE,
} from "../platform/vm_settings_wire.ts";
import { LineWriter, openForLines } from "../runtime/line_writer.ts";
import { ProcessLogger } from "../runtime/logger.ts";
import { ExitCode } from "./exit_code.ts";
import { printError } from "./output.ts";

const STANDARD_OUTPUT = 1;

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
        `Settings file; by default the one that ${SETTINGS_VARIABLE} names`,
    })
      .example("$0 gateway", "Run by the platform's settings")
      .epilogue("SIGTERM stops as planned. SIGHUP reads the settings again."),
  handler: ({ settings }) => runGateway(settings),
};

/** Runs a gateway by a settings file. */
export async function runGateway(
  path = process.env[SETTINGS_VARIABLE],
): Promise<void> {
  if (path === undefined) {
    printError(`Name a settings file with --settings or ${SETTINGS_VARIABLE}`);
    process.exit(ExitCode.Usage);
  }
  const settings = readVmSettings(path);
  const logger = new ProcessLogger(
    { vm: settings.vm, data_centre: settings.dataCentre },
    new LineWriter(openForLines(STANDARD_OUTPUT)),
  );
  const gateway = new GatewayProcess({ vmSettings: settings, logger });
  process.on("SIGTERM", () => {
    void gateway.drain().then(() => process.exit(ExitCode.Done));
  });
  process.on("SIGHUP", () => {
    logger.info("Settings changed", { path });
  });
  await gateway.start();
}

function readVmSettings(path: string) {
  let text: string;
  try {
    text = readFileSync(path, "utf8");
  } catch (err) {
    printError(`Settings cannot be read: ${(err as Error).message}`);
    process.exit(ExitCode.Failed);
  }
  const decoded = decodeVmSettings(text);
  if (!decoded.ok) {
    printError(`${path}: ${describeDecodeError(decoded.error)}`);
    process.exit(ExitCode.Failed);
  }
  return decoded.value;
}
