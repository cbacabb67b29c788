/** Writes log lines without ever waiting for whoever reads them, and not too many. */

import { createWriteStream, fstatSync } from "node:fs";
import { Socket } from "node:net";
import { performance } from "node:perf_hooks";
import type { Writable } from "node:stream";

/** Bytes that wait for a slow reader, beyond which lines are dropped. */
const MAX_WAITING_BYTES = 256 * 1024;
/** Lines in one second, beyond which lines are dropped: many times what a busy VM writes. */
const MAX_LINES_PER_SECOND = 300;
const MS_PER_SECOND = 1_000;

/** Where log lines go. */
export interface LineSink {
  write(line: string): void;
}

/** Bounds of a writer. */
export interface LineLimits {
  readonly maxBufferedBytes?: number;
  readonly maxLinesPerSecond?: number;
  /** Monotonic time in milliseconds. */
  readonly nowMs?: () => number;
}

/** Writes to a file descriptor; drops lines, and counts them, beyond its bounds. */
export class LineWriter implements LineSink {
  readonly #out: Writable;
  readonly #maxWaitingBytes: number;
  readonly #maxLinesPerSecond: number;
  readonly #nowMs: () => number;
  #secondStartMs = -Infinity;
  #linesInSecond = 0;
  #droppedSinceNote = 0;
  #dropped = 0;

  constructor(out: Writable, limits: LineLimits = {}) {
    this.#out = out;
    this.#maxWaitingBytes = limits.maxBufferedBytes ?? MAX_WAITING_BYTES;
    this.#maxLinesPerSecond = limits.maxLinesPerSecond ?? MAX_LINES_PER_SECOND;
    this.#nowMs = limits.nowMs ?? (() => performance.now());
    // A reader that has gone is no reason to end; there is nowhere left to say so.
    out.on("error", () => this.#dropped += 1);
  }

  /** Lines dropped since the start. */
  get dropped(): number {
    return this.#dropped;
  }

  write(line: string): void {
    if (!this.#hasRoom(line)) {
      this.#dropped += 1;
      this.#droppedSinceNote += 1;
      return;
    }
    if (this.#droppedSinceNote > 0) {
      const lines = this.#droppedSinceNote;
      this.#droppedSinceNote = 0;
      const note = { message: "Log lines dropped", context: { lines } };
      this.#out.write(`${JSON.stringify(note)}\n`);
    }
    this.#out.write(`${line}\n`);
  }

  #hasRoom(line: string): boolean {
    const nowMs = this.#nowMs();
    if (nowMs - this.#secondStartMs >= MS_PER_SECOND) {
      this.#secondStartMs = nowMs;
      this.#linesInSecond = 0;
    }
    if (this.#linesInSecond >= this.#maxLinesPerSecond) return false;
    if (this.#out.writableLength + line.length > this.#maxWaitingBytes) {
      return false;
    }
    this.#linesInSecond += 1;
    return true;
  }
}

/** Opens a descriptor for writing that never blocks: Node's own stdout blocks on pipes. */
export function openNonBlocking(fd: number): Writable {
  const stat = fstatSync(fd);
  if (stat.isFIFO() || stat.isSocket()) {
    return new Socket({ fd, readable: false, writable: true });
  }
  return createWriteStream("", { fd, autoClose: false });
}
