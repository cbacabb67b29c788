/** Logs each change of state as one JSON line, using roarr. */

import "./enable_logs.ts";
import process from "node:process";
import type { LineSink } from "./line_writer.ts";
import { type Logger as RoarrLogger, Roarr } from "roarr";

/** Structured fields of a log line. */
export type LogContext = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Logs changes of state. */
export interface Logger {
  /** Logs a change that may interest operators. */
  info(message: string, context?: LogContext): void;
  /** Logs a change that may require action by operators. */
  warn(message: string, context?: LogContext): void;
}

/** Writes JSON lines to standard error or to the given sink. */
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

/** Discards all messages. */
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
