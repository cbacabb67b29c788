/** Logs: one JSON line for each change of state, by roarr. */

import "./enable_logs.ts";
import process from "node:process";
import type { LineSink } from "./line_writer.ts";
import { type Logger as RoarrLogger, Roarr } from "roarr";

/** Values that explain a log line. */
export type LogContext = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Where parts of the program report changes of state. */
export interface Logger {
  /** A change that operators may want to know of. */
  info(message: string, context?: LogContext): void;
  /** A change that operators may have to act on. */
  warn(message: string, context?: LogContext): void;
}

/** Writes JSON lines to standard error, or to the sink that is given. */
export class ProcessLogger implements Logger {
  readonly #roarr: RoarrLogger;

  constructor(context: LogContext, sink: LineSink = STANDARD_ERROR) {
    globalRoarr().write = (line) => sink.write(line);
    this.#roarr = Roarr.child({ ...context });
  }

  info(message: string, context: LogContext = {}): void {
    this.#roarr.info({ ...context }, message);
  }

  warn(message: string, context: LogContext = {}): void {
    this.#roarr.warn({ ...context }, message);
  }
}

const STANDARD_ERROR: LineSink = {
  write: (line) => void process.stderr.write(`${line}\n`),
};

/** Keeps quiet. */
export class SilentLogger implements Logger {
  info(): void {}
  warn(): void {}
}

function globalRoarr(): { write?: (line: string) => void } {
  return (globalThis as unknown as {
    ROARR: { write?: (line: string) => void };
  })
    .ROARR;
}
