/** Limits on what a backend server may send, so that a response without end harms nothing else. */

import { Buffer } from "node:buffer";
import { BLOCK_BYTES, BlockPool } from "../runtime/block_pool.ts";
import { BlockWriter, ResponseBody } from "./response_body.ts";

/**
 * Bytes that a response may consist of beyond its payload: heads, chunk sizes and extensions, trailers.
 * What the payload allows is added.
 */
const MAX_OVERHEAD_BYTES = 256 * 1_024;
/** Bytes of framing that may accompany each byte of the payload; small chunks need a few. */
const OVERHEAD_PER_PAYLOAD_BYTE = 4;
/** Largest event of a stream, and the most bytes of a stream without data. */
export const MAX_EVENT_BYTES = 1_024 * 1_024;
/**
 * Counted for each chunk besides its bytes: what tracks it, and the time to parse it, which lets a body in
 * tiny chunks without end reach its limit early.
 */
const CHUNK_BYTES = 128;
/** A response up to this size fails for want of memory only if smaller ones need it. */
const MIN_BODY_BYTES = 512 * 1_024;

/** Why a response fails that is too large for the memory left. */
export const BODY_TOO_LARGE = "response body is too large";
/** Why a response fails whose memory smaller ones need. */
export const MEMORY_USED_UP = "memory for responses is used up";

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
 * others leave, so that one alone may be large. Once nothing is left, the largest gives way to smaller ones.
 */
export class ResponseMemory {
  /** Blocks for large bodies. */
  readonly blocks: BlockPool;
  readonly #limitBytes: number;
  readonly #collecting = new Set<ResponseCollector>();
  #used = 0;

  constructor(limitBytes: number) {
    this.#limitBytes = limitBytes;
    this.blocks = new BlockPool(limitBytes);
  }

  /** Begins to collect a response; `evict` must discard it. */
  collect(evict: () => void): ResponseCollector {
    return new ResponseCollector(this, evict);
  }

  /** Bytes used by all responses together. */
  get used(): number {
    return this.#used;
  }

  /** Reserves more memory for a response; returns whether there is enough. */
  reserve(response: ResponseCollector, more: number): boolean {
    const bytes = response.reserved + more;
    const left = this.#limitBytes - this.#used - more;
    if (bytes > Math.max(MIN_BODY_BYTES, left / 2)) return false;
    while (this.#used + more > this.#limitBytes) {
      const largest = this.#largest();
      if (largest === undefined || largest.reserved < bytes) return false;
      if (largest === response) return false;
      this.#collecting.delete(largest);
      largest.evict();
    }
    this.#used += more;
    this.#collecting.add(response);
    return true;
  }

  /** Returns the memory of a response that does not use it any more. */
  release(response: ResponseCollector): void {
    this.#used -= response.reserved;
    this.#collecting.delete(response);
  }

  /** Returns the response that uses most; the oldest of several. */
  #largest(): ResponseCollector | undefined {
    let largest: ResponseCollector | undefined;
    for (const response of this.#collecting) {
      if (largest === undefined || response.reserved > largest.reserved) {
        largest = response;
      }
    }
    return largest;
  }
}

/**
 * Collects the body of one response. A large one is copied into reused blocks: what is read of many
 * large responses would stay in memory until the garbage collector finds it.
 */
export class ResponseCollector {
  /** Ends the exchange, as others need the memory. */
  readonly evict: () => void;
  readonly #memory: ResponseMemory;
  /** Chunks of a small body, as they were read. */
  #chunks: Buffer[] = [];
  #chunkBytes = 0;
  /** Set once the body is large. */
  #writer: BlockWriter | undefined;
  #reserved = 0;

  constructor(memory: ResponseMemory, evict: () => void) {
    this.#memory = memory;
    this.evict = evict;
  }

  /** Bytes reserved. */
  get reserved(): number {
    return this.#reserved;
  }

  /** Adds a chunk; returns false if the response is too large. */
  add(chunk: Buffer): boolean {
    if (this.#writer !== undefined) {
      const bytes = this.#writer.growthFor(chunk.length);
      if (!this.#reserve(CHUNK_BYTES + bytes)) return false;
      this.#writer.write(chunk);
      return true;
    }
    if (this.#chunkBytes + chunk.length > BLOCK_BYTES) {
      return this.#startBlocks() && this.add(chunk);
    }
    if (!this.#reserve(CHUNK_BYTES + chunk.length)) return false;
    this.#chunkBytes += chunk.length;
    this.#chunks.push(chunk);
    return true;
  }

  /** Returns the collected body and frees the memory reserved. */
  take(): ResponseBody {
    const body = this.#writer?.finish() ?? new ResponseBody(this.#chunks);
    this.#chunks = [];
    this.discard();
    return body;
  }

  /** Frees the memory of a response that is not used. */
  discard(): void {
    this.#writer?.finish().release();
    this.#writer = undefined;
    this.#chunks = [];
    this.#chunkBytes = 0;
    this.#free();
  }

  /** Moves the chunks into blocks; returns false if there is not enough memory. */
  #startBlocks(): boolean {
    const writer = new BlockWriter(this.#memory.blocks);
    const bytes = writer.growthFor(this.#chunkBytes) - this.#chunkBytes;
    if (!this.#reserve(bytes)) return false;
    for (const chunk of this.#chunks) writer.write(chunk);
    this.#chunks = [];
    this.#writer = writer;
    return true;
  }

  #reserve(bytes: number): boolean {
    if (!this.#memory.reserve(this, bytes)) return false;
    this.#reserved += bytes;
    return true;
  }

  #free(): void {
    this.#memory.release(this);
    this.#reserved = 0;
  }
}
