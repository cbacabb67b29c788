/** Logs: one JSON line for each change of state, by roarr. */

import "./enable_logs.ts";
import process from "node:process";
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

/** Writes to standard error. */
export class ProcessLogger implements Logger {
  readonly #roarr: RoarrLogger;

  constructor(context: LogContext) {
    globalRoarr().write = (line) => void process.stderr.write(`${line}\n`);
    this.#roarr = Roarr.child({ ...context });
  }

  info(message: string, context: LogContext = {}): void {
    this.#roarr.info({ ...context }, message);
  }

  warn(message: string, context: LogContext = {}): void {
    this.#roarr.warn({ ...context }, message);
  }
}

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
