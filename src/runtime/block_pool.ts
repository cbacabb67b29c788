/** Keeps blocks of memory for reuse: the garbage collector frees large buffers late. */

import { Buffer } from "node:buffer";

/** Size of each block. */
export const BLOCK_BYTES = 64 * 1_024;

/** Blocks of one size that are used again and again. */
export class BlockPool {
  readonly #maxFreeBlocks: number;
  readonly #free: Buffer[] = [];

  /** Blocks of up to `maxFreeBytes` in total are kept while they are not used. */
  constructor(maxFreeBytes: number) {
    this.#maxFreeBlocks = Math.floor(maxFreeBytes / BLOCK_BYTES);
  }

  /** Returns a block, whose content is undefined. */
  acquire(): Buffer {
    return this.#free.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES);
  }

  /** Takes back a block that nothing refers to any more. */
  release(block: Buffer): void {
    if (this.#free.length < this.#maxFreeBlocks) this.#free.push(block);
  }
}
