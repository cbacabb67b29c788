/** Collects chunks in a few blocks, so that the memory for them does not depend on how they are cut. */

import { Buffer } from "node:buffer";

const MIN_BLOCK_BYTES = 1_024;
const MAX_BLOCK_BYTES = 256 * 1_024;

/** Bytes collected so far. */
export class BlockBuffer {
  readonly #maxBytes: number;
  readonly #reserve: (capacity: number) => boolean;
  readonly #full: Buffer[] = [];
  #last = Buffer.alloc(0);
  /** Bytes used of the last block. */
  #lastUsed = 0;
  #length = 0;
  #capacity = 0;

  /** `reserve` is asked before the blocks get a total capacity, which is `maxBytes` at most. */
  constructor(
    { maxBytes, reserve }: {
      maxBytes: number;
      reserve: (capacity: number) => boolean;
    },
  ) {
    this.#maxBytes = maxBytes;
    this.#reserve = reserve;
  }

  /** Number of bytes collected. */
  get length(): number {
    return this.#length;
  }

  /** Appends a chunk; returns false if there is not enough memory, or more than `maxBytes`. */
  append(chunk: Buffer): boolean {
    const left = this.#last.length - this.#lastUsed;
    const more = this.#length + chunk.length - this.#capacity;
    if (more > 0) {
      const block = Math.min(
        Math.max(
          more,
          MIN_BLOCK_BYTES,
          Math.min(this.#capacity, MAX_BLOCK_BYTES),
        ),
        Math.max(more, this.#maxBytes - this.#capacity),
      );
      if (!this.#mayGrow(block)) return false;
      this.#write(chunk.subarray(0, left));
      this.#addBlock(block);
      this.#write(chunk.subarray(left));
    } else {
      this.#write(chunk);
    }
    return true;
  }

  /** Makes room for a total of `bytes` in advance; returns whether there is enough memory. */
  prepare(bytes: number): boolean {
    const more = bytes - this.#capacity;
    if (more <= 0) return true;
    if (!this.#mayGrow(more)) return false;
    this.#addBlock(more);
    return true;
  }

  /** Returns the bytes collected. */
  bytes(): Buffer {
    const last = this.#last.subarray(0, this.#lastUsed);
    return this.#full.length === 0
      ? last
      : Buffer.concat([...this.#full, last]);
  }

  /** Drops the bytes collected. */
  clear(): void {
    this.#full.length = 0;
    this.#last = Buffer.alloc(0);
    this.#lastUsed = 0;
    this.#length = 0;
    this.#capacity = 0;
  }

  #mayGrow(bytes: number): boolean {
    const capacity = this.#capacity + bytes;
    return capacity <= this.#maxBytes && this.#reserve(capacity);
  }

  #addBlock(bytes: number): void {
    const used = this.#last.subarray(0, this.#lastUsed);
    if (used.length > 0) this.#full.push(used);
    else this.#capacity -= this.#last.length;
    this.#last = Buffer.allocUnsafeSlow(bytes);
    this.#lastUsed = 0;
    this.#capacity += bytes;
  }

  #write(bytes: Buffer): void {
    bytes.copy(this.#last, this.#lastUsed);
    this.#lastUsed += bytes.length;
    this.#length += bytes.length;
  }
}
