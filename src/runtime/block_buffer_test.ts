import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { describe, it } from "node:test";
import fc from "fast-check";
import { BlockBuffer } from "./block_buffer.ts";

const MAX_BYTES = 300_000;

describe("BlockBuffer", () => {
  it("should return the chunks in order, within what it has reserved", () => {
    const chunk = fc.oneof(
      fc.uint8Array({ maxLength: 3 }),
      fc.uint8Array({ maxLength: 40_000, size: "max" }),
    );
    fc.assert(
      fc.property(
        fc.array(chunk, { maxLength: 12 }),
        fc.option(fc.nat({ max: MAX_BYTES })),
        (chunks, prepared) => {
          let reserved = 0;
          const buffer = new BlockBuffer({
            maxBytes: MAX_BYTES,
            reserve: (capacity) => {
              assert.ok(capacity <= MAX_BYTES);
              reserved = capacity;
              return true;
            },
          });
          if (prepared !== null) assert.ok(buffer.prepare(prepared));
          const expected: Uint8Array[] = [];
          for (const bytes of chunks) {
            const fits = buffer.length + bytes.length <= MAX_BYTES;
            assert.equal(buffer.append(Buffer.from(bytes)), fits);
            if (fits) expected.push(bytes);
            assert.ok(buffer.length <= reserved);
          }
          assert.deepEqual(buffer.bytes(), Buffer.concat(expected));
        },
      ),
      { seed: 4, numRuns: 40 },
    );
  });

  // Guards against a cost for each chunk: one byte took a hundred times its size.
  it("should reserve at most twice the bytes of a body in the smallest chunks", () => {
    let reserved = 0;
    const buffer = new BlockBuffer({
      maxBytes: MAX_BYTES,
      reserve: (capacity) => {
        reserved = capacity;
        return true;
      },
    });
    const byte = Buffer.from("x");
    for (let n = 1; n <= 100_000; n++) {
      assert.ok(buffer.append(byte));
      assert.ok(reserved <= Math.max(1_024, 2 * n));
    }
  });

  it("should keep what it has if there is no memory for more", () => {
    let limit = 2_000;
    const buffer = new BlockBuffer({
      maxBytes: MAX_BYTES,
      reserve: (capacity) => capacity <= limit,
    });
    assert.ok(buffer.append(Buffer.alloc(1_000, "a")));
    assert.equal(buffer.append(Buffer.alloc(2_000, "b")), false);
    assert.equal(buffer.length, 1_000);
    limit = MAX_BYTES;
    assert.ok(buffer.append(Buffer.alloc(2_000, "b")));
    assert.equal(
      buffer.bytes().toString(),
      "a".repeat(1_000) + "b".repeat(2_000),
    );
  });
});
