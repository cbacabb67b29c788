/** Writes log lines without ever waiting for whoever reads them. */

import { fstatSync } from "node:fs";
import { Socket } from "node:net";
import { createWriteStream } from "node:fs";
import type { Writable } from "node:stream";

/** Bytes that wait for a slow reader, beyond which lines are dropped. */
const MAX_WAITING_BYTES = 256 * 1024;

/** Where log lines go. */
export interface LineSink {
  write(line: string): void;
}

/** Writes to a file descriptor; drops lines, and counts them, while it is not read. */
export class LineWriter implements LineSink {
  readonly #out: Writable;
  readonly #maxWaitingBytes: number;
  #dropped = 0;
  #droppedEver = 0;

  constructor(out: Writable, { maxWaitingBytes = MAX_WAITING_BYTES } = {}) {
    this.#out = out;
    this.#maxWaitingBytes = maxWaitingBytes;
    // A reader that has gone is no reason to end.
    out.on("error", () => {
      this.#droppedEver += 1;
    });
  }

  /** Lines dropped since the start. */
  get dropped(): number {
    return this.#droppedEver;
  }

  write(line: string): void {
    if (this.#out.writableLength + line.length > this.#maxWaitingBytes) {
      this.#dropped += 1;
      this.#droppedEver += 1;
      return;
    }
    if (this.#dropped > 0) {
      const note = JSON.stringify({
        message: "Log lines dropped",
        lines: this.#dropped,
      });
      this.#dropped = 0;
      this.#out.write(`${note}\n`);
    }
    this.#out.write(`${line}\n`);
  }
}

/** Opens a descriptor for writing that never blocks: Node's own stdout blocks on pipes. */
export function openForLines(fd: number): Writable {
  const stat = fstatSync(fd);
  if (stat.isFIFO() || stat.isSocket()) {
    return new Socket({ fd, readable: false, writable: true });
  }
  return createWriteStream("", { fd, autoClose: false });
}
