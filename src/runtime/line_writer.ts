/** Writes log lines at a limited rate and without blocking on a slow reader. */

import { createWriteStream, fstatSync } from "node:fs";
import { Socket } from "node:net";
import { performance } from "node:perf_hooks";
import type { Writable } from "node:stream";

/** Lines are dropped if more bytes than this are buffered for a slow reader. */
const MAX_BUFFERED_BYTES = 256 * 1024;
/** Lines beyond this rate are dropped; a busy VM writes only a small fraction of it. */
const MAX_LINES_PER_SECOND = 300;
const MS_PER_SECOND = 1_000;

/** Destination of log lines. */
export interface LineSink {
  write(line: string): void;
}

/** Limits of a `LineWriter`. */
export interface LineLimits {
  readonly maxBufferedBytes?: number;
  readonly maxLinesPerSecond?: number;
  /** Monotonic time in milliseconds. */
  readonly nowMs?: () => number;
}

/** Writes lines to a stream; drops and counts lines that exceed its limits. */
export class LineWriter implements LineSink {
  readonly #out: Writable;
  readonly #maxBufferedBytes: number;
  readonly #maxLinesPerSecond: number;
  readonly #nowMs: () => number;
  #secondStartMs = -Infinity;
  #linesInSecond = 0;
  #unreportedDrops = 0;
  #dropped = 0;

  constructor(out: Writable, limits: LineLimits = {}) {
    this.#out = out;
    this.#maxBufferedBytes = limits.maxBufferedBytes ?? MAX_BUFFERED_BYTES;
    this.#maxLinesPerSecond = limits.maxLinesPerSecond ?? MAX_LINES_PER_SECOND;
    this.#nowMs = limits.nowMs ?? (() => performance.now());
    // The process must survive a closed reader; the error cannot be logged anywhere.
    out.on("error", () => this.#dropped += 1);
  }

  /** Number of lines dropped since the start. */
  get dropped(): number {
    return this.#dropped;
  }

  write(line: string): void {
    if (!this.#isWithinLimits(line)) {
      this.#dropped += 1;
      this.#unreportedDrops += 1;
      return;
    }
    if (this.#unreportedDrops > 0) {
      const lines = this.#unreportedDrops;
      this.#unreportedDrops = 0;
      const note = { message: "Log lines dropped", context: { lines } };
      this.#out.write(`${JSON.stringify(note)}\n`);
    }
    this.#out.write(`${line}\n`);
  }

  #isWithinLimits(line: string): boolean {
    const nowMs = this.#nowMs();
    if (nowMs - this.#secondStartMs >= MS_PER_SECOND) {
      this.#secondStartMs = nowMs;
      this.#linesInSecond = 0;
    }
    if (this.#linesInSecond >= this.#maxLinesPerSecond) return false;
    if (this.#out.writableLength + line.length > this.#maxBufferedBytes) {
      return false;
    }
    this.#linesInSecond += 1;
    return true;
  }
}

/** Opens a descriptor for non-blocking writes, as `process.stdout` blocks on pipes. */
export function openNonBlocking(fd: number): Writable {
  const stat = fstatSync(fd);
  if (stat.isFIFO() || stat.isSocket()) {
    return new Socket({ fd, readable: false, writable: true });
  }
  return createWriteStream("", { fd, autoClose: false });
}
