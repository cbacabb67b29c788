import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { BLOCK_BYTES, BlockPool } from "./block_pool.ts";

describe("BlockPool", () => {
  it("should hand out a block again only once it is released", () => {
    const pool = new BlockPool(4 * BLOCK_BYTES);
    const first = pool.acquire();
    const second = pool.acquire();
    assert.equal(first.length, BLOCK_BYTES);
    assert.notEqual(first, second);
    pool.release(first);
    assert.equal(pool.acquire(), first);
  });

  it("should keep no more free blocks than its limit", () => {
    const pool = new BlockPool(BLOCK_BYTES);
    const [first, second] = [pool.acquire(), pool.acquire()];
    pool.release(first);
    pool.release(second);
    assert.equal(pool.acquire(), first);
    assert.notEqual(pool.acquire(), second);
  });
});
