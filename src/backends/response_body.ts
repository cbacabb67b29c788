/** Bodies of responses, in memory that is reused once they are sent. */

import { Buffer } from "node:buffer";
import { BLOCK_BYTES, type BlockPool } from "../runtime/block_pool.ts";

/** A complete body. */
export class ResponseBody {
  /** The bytes, in order. */
  readonly parts: readonly Buffer[];
  readonly length: number;
  readonly #onRelease: () => void;
  #isReleased = false;

  constructor(parts: readonly Buffer[], onRelease: () => void = () => {}) {
    this.parts = parts;
    this.length = totalLength(parts);
    this.#onRelease = onRelease;
  }

  /** Returns all bytes as a copy. */
  bytes(): Buffer {
    return Buffer.concat(this.parts);
  }

  /** Gives the memory to other bodies; the parts must not be used any more, not even by a socket. */
  release(): void {
    if (this.#isReleased) return;
    this.#isReleased = true;
    this.#onRelease();
  }
}

/** Copies chunks into blocks of a pool. */
export class BlockWriter {
  readonly #pool: BlockPool;
  #blocks: Buffer[] = [];
  #length = 0;

  constructor(pool: BlockPool) {
    this.#pool = pool;
  }

  /** Bytes of the blocks that more bytes would add. */
  growthFor(bytes: number): number {
    const blocks = Math.ceil((this.#length + bytes) / BLOCK_BYTES);
    return (blocks - this.#blocks.length) * BLOCK_BYTES;
  }

  /** Appends a copy of a chunk. */
  write(chunk: Buffer): void {
    let offset = 0;
    while (offset < chunk.length) {
      const used = this.#length % BLOCK_BYTES;
      if (used === 0) this.#blocks.push(this.#pool.acquire());
      const copied = chunk.copy(this.#blocks.at(-1) as Buffer, used, offset);
      offset += copied;
      this.#length += copied;
    }
  }

  /** Returns the body; nothing may be written afterwards. */
  finish(): ResponseBody {
    const blocks = this.#blocks;
    this.#blocks = [];
    const parts = blocks.map((block, at) =>
      block.subarray(0, this.#length - at * BLOCK_BYTES)
    );
    this.#length = 0;
    return new ResponseBody(parts, () => {
      for (const block of blocks) this.#pool.release(block);
    });
  }
}

function totalLength(parts: readonly Buffer[]): number {
  return parts.reduce((length, part) => length + part.length, 0);
}
