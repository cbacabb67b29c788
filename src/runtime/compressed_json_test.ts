import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { describe, it } from "node:test";
import * as fc from "fast-check";
import { decodeJson, encodeJson } from "./compressed_json.ts";

const LIMIT = { limitBytes: 1_000_000 };

function asBytes(body: string | Buffer): Buffer {
  return typeof body === "string" ? Buffer.from(body) : body;
}

describe("compressed JSON", () => {
  it("should decode what it encoded", () => {
    fc.assert(
      fc.property(fc.jsonValue({ maxDepth: 4 }), (value) => {
        const { body, encoding } = encodeJson(value);
        const decoded = decodeJson(asBytes(body), { encoding, ...LIMIT });
        assert.deepEqual(decoded, JSON.parse(JSON.stringify(value)));
      }),
      { seed: 7, numRuns: 200 },
    );
  });

  it("should compress long messages and leave short ones as text", () => {
    const rows = Array.from({ length: 40 }, (_, n) => ({ instance: `i-${n}` }));
    const long = encodeJson(rows);
    assert.ok(long.body.length < JSON.stringify(rows).length / 2);
    assert.deepEqual(encodeJson({ a: 1 }), {
      body: '{"a":1}',
      encoding: undefined,
    });
  });

  it("should reject a message that decompresses to more than the limit", () => {
    const { body, encoding } = encodeJson("x".repeat(10_000));
    assert.throws(() =>
      decodeJson(asBytes(body), { encoding, limitBytes: 1_000 })
    );
  });
});
