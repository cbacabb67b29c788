/** Checks the HTTP version of responses, which undici does not report. */

import type { Buffer } from "node:buffer";

const SUPPORTED: readonly string[] = ["HTTP/1.1 ", "HTTP/1.0 "];
const LENGTH = "HTTP/1.1 ".length;
const CR = 0x0d;
const LF = 0x0a;

/** Reads the beginning of the first status line of each response. */
export class HttpVersionCheck {
  /** Undefined once the version is known. */
  #beginning: string | undefined;

  /** Begins to check, as a request is sent. */
  expectResponse(): void {
    this.#beginning = "";
  }

  /** Whether the bytes read so far may begin a response of a supported version. */
  accepts(chunk: Buffer): boolean {
    const before = this.#beginning;
    if (before === undefined) return true;
    const start = before === "" ? skipLineBreaks(chunk) : 0;
    const end = start + LENGTH - before.length;
    const beginning = before + chunk.toString("latin1", start, end);
    this.#beginning = beginning.length < LENGTH ? beginning : undefined;
    return SUPPORTED.some((version) => version.startsWith(beginning));
  }
}

/** Returns the index after the empty lines that may come before a status line. */
function skipLineBreaks(chunk: Buffer): number {
  const start = chunk.findIndex((byte) => byte !== CR && byte !== LF);
  return start < 0 ? chunk.length : start;
}
