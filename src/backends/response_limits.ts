/** Limits on what a backend server may send, so that a response without end harms nothing else. */

import { Buffer } from "node:buffer";

/**
 * Bytes that a response may consist of beyond its payload: heads, chunk sizes and extensions, trailers.
 * What the payload allows is added.
 */
const MAX_OVERHEAD_BYTES = 256 * 1_024;
/** Bytes of framing that may accompany each byte of the payload; small chunks need a few. */
const OVERHEAD_PER_PAYLOAD_BYTE = 4;
/** Largest event of a stream, and the most bytes of a stream without data. */
export const MAX_EVENT_BYTES = 1_024 * 1_024;
/** Memory that a chunk takes besides its bytes. */
const CHUNK_BYTES = 128;
/** Part of that memory that any response may use, however little is left. */
const MIN_BODY_BYTES = 512 * 1_024;

/** Counts the bytes of a response that are not payload. */
export class OverheadMeter {
  #overhead = 0;

  /** Counts raw bytes; returns whether the response is still within its limit. */
  recordRead(bytes: number): boolean {
    this.#overhead += bytes;
    return this.#overhead <= MAX_OVERHEAD_BYTES;
  }

  /** Records payload, which is part of the raw bytes read before. */
  recordPayload(bytes: number): void {
    const allowed = (1 + OVERHEAD_PER_PAYLOAD_BYTE) * bytes;
    this.#overhead = Math.max(0, this.#overhead - allowed);
  }

  /** Starts again, as a head is complete or another request begins. */
  reset(): void {
    this.#overhead = 0;
  }
}

/**
 * Memory that responses share while they are collected. Each may use at most half of what the
 * others leave, so that one alone may be large and many together stay within the limit.
 */
export class ResponseMemory {
  readonly #limitBytes: number;
  #used = 0;

  constructor(limitBytes: number) {
    this.#limitBytes = limitBytes;
  }

  /** Begins to collect a response. */
  collect(): ResponseCollector {
    return new ResponseCollector(this);
  }

  /** Bytes used by all responses together. */
  get used(): number {
    return this.#used;
  }

  /** Reserves memory for a response that uses `own` bytes already; returns whether there is enough. */
  reserve(bytes: number, own: number): boolean {
    const left = this.#limitBytes - this.#used - bytes;
    if (own + bytes > Math.max(MIN_BODY_BYTES, left / 2)) return false;
    this.#used += bytes;
    return true;
  }

  /** Returns memory that is not used any more. */
  release(bytes: number): void {
    this.#used -= bytes;
  }
}

/** Collects the body of one response. */
export class ResponseCollector {
  readonly #memory: ResponseMemory;
  #chunks: Buffer[] = [];
  #bytes = 0;

  constructor(memory: ResponseMemory) {
    this.#memory = memory;
  }

  /** Adds a chunk; returns false if the response is too large. */
  add(chunk: Buffer): boolean {
    const bytes = CHUNK_BYTES + chunk.length;
    if (!this.#memory.reserve(bytes, this.#bytes)) return false;
    this.#bytes += bytes;
    this.#chunks.push(chunk);
    return true;
  }

  /** Returns the collected body and frees the memory. */
  take(): Buffer {
    const body = Buffer.concat(this.#chunks);
    this.discard();
    return body;
  }

  /** Frees the memory of a response that is not used. */
  discard(): void {
    this.#memory.release(this.#bytes);
    this.#chunks = [];
    this.#bytes = 0;
  }
}
