/** Splits bytes that a client sent so that each part holds the end of at most one request head. */

import type { Buffer } from "node:buffer";

const LF = 0x0a;
const CR = 0x0d;
/** Lines of a part at most; the work of an HTTP parser grows with the lines that it reads. */
const MAX_LINES = 256;

/** A part of the bytes. */
export interface LineSlice {
  /** Offset behind the part. */
  readonly end: number;
  /** Lines that end within it. */
  readonly lines: number;
}

/**
 * Returns the part that begins at `from`. It ends behind the first blank line, which ends a request
 * head. A line feed at the very beginning may end a blank line that began in earlier bytes.
 */
export function nextLineSlice(bytes: Buffer, from: number): LineSlice {
  let lines = 0;
  let at = from;
  for (;;) {
    const lineEnd = bytes.indexOf(LF, at);
    if (lineEnd < 0) return { end: bytes.length, lines };
    lines += 1;
    at = lineEnd + 1;
    if (lineEnd === from) return { end: at, lines };
    if (lineEnd === from + 1 && bytes[from] === CR) return { end: at, lines };
    if (bytes[at] === LF) return { end: at + 1, lines: lines + 1 };
    if (bytes[at] === CR && bytes[at + 1] === LF) {
      return { end: at + 2, lines: lines + 1 };
    }
    if (lines === MAX_LINES) return { end: at, lines };
  }
}
