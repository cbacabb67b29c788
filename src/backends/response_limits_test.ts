import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { describe, it } from "node:test";
import fc from "fast-check";
import type { ResponseBody } from "./response_body.ts";
import {
  OverheadMeter,
  type ResponseCollector,
  ResponseMemory,
} from "./response_limits.ts";

const MIB = 1_024 * 1_024;
/** Memory for all responses together, and what each may use in any case. */
const LIMIT_BYTES = 48 * MIB;
const MIN_BODY_BYTES = MIB / 2;

/** Begins to collect a response that is discarded if others need the memory. */
function collect(memory: ResponseMemory): ResponseCollector {
  const response = memory.collect(() => response.discard());
  return response;
}

describe("ResponseMemory", () => {
  it("should let one response be large, and keep many within the limit", () => {
    const memory = new ResponseMemory(LIMIT_BYTES);
    const chunk = Buffer.alloc(64 * 1_024);
    const large = collect(memory);
    let bytes = 0;
    while (large.add(chunk)) bytes += chunk.length;
    assert.ok(bytes > 15 * MIB);
    for (let n = 0; n < 40; n++) {
      const other = collect(memory);
      while (other.add(chunk));
    }
    assert.ok(memory.used <= LIMIT_BYTES);
    assert.ok(collect(memory).add(chunk));
  });

  // Guards against a sum without bound: each response was sure of half a MiB, however many there were.
  it("should stay within the limit, and drop the largest for smaller ones", () => {
    const memory = new ResponseMemory(LIMIT_BYTES);
    const chunk = Buffer.alloc(64 * 1_024);
    const evicted: number[] = [];
    const responses = Array.from({ length: 400 }, () => {
      const response = memory.collect(() => {
        evicted.push(response.reserved);
        response.discard();
      });
      return response;
    });
    for (let round = 0; round < MIN_BODY_BYTES / chunk.length; round++) {
      for (const response of responses) response.add(chunk);
      assert.ok(memory.used <= LIMIT_BYTES);
    }
    assert.ok(evicted.length > 0);
    const largest = Math.max(...responses.map(({ reserved }) => reserved));
    evicted.length = 0;
    while (evicted.length === 0) assert.ok(collect(memory).add(chunk));
    assert.deepEqual(evicted, [largest]);
  });

  it("should have no memory in use once all responses are taken or discarded", () => {
    const action = fc.record({
      at: fc.nat({ max: 5 }),
      bytes: fc.nat({ max: 4 * MIB }),
      tag: fc.constantFrom("add", "take", "discard"),
    });
    fc.assert(
      fc.property(fc.array(action, { maxLength: 60 }), (actions) => {
        const memory = new ResponseMemory(LIMIT_BYTES);
        const collectors = Array.from({ length: 6 }, () => collect(memory));
        for (const { at, bytes, tag } of actions) {
          const collector = collectors[at];
          if (tag === "add") collector?.add(Buffer.alloc(bytes));
          if (tag === "take") collector?.take();
          if (tag === "discard") collector?.discard();
          assert.ok(memory.used >= 0);
        }
        for (const collector of collectors) collector.discard();
        assert.equal(memory.used, 0);
      }),
      { seed: 1, numRuns: 50 },
    );
  });
});

describe("ResponseCollector", () => {
  it("should return the chunks of any body in order", () => {
    const memory = new ResponseMemory(LIMIT_BYTES);
    const chunk = fc.oneof(
      fc.uint8Array({ maxLength: 3 }),
      fc.uint8Array({ maxLength: 150_000, size: "max" }),
    );
    fc.assert(
      fc.property(fc.array(chunk, { maxLength: 8 }), (chunks) => {
        const collector = collect(memory);
        for (const bytes of chunks) collector.add(Buffer.from(bytes));
        const body = collector.take();
        const expected = Buffer.concat(chunks);
        assert.equal(body.length, expected.length);
        assert.deepEqual(body.bytes(), expected);
        body.release();
      }),
      { seed: 2, numRuns: 40 },
    );
  });

  // Guards against memory beyond the limit: the garbage collector frees what was read of large bodies late.
  it("should use the memory of a large body again once it is released, and not before", () => {
    const memory = new ResponseMemory(LIMIT_BYTES);
    const collectLarge = () => {
      const collector = collect(memory);
      for (let n = 0; n < 4; n++) {
        assert.ok(collector.add(Buffer.alloc(MIB / 16)));
      }
      return collector;
    };
    const memoryOf = ({ parts }: ResponseBody) =>
      parts.map(({ buffer }) => buffer);
    const first = collectLarge().take();
    const second = collectLarge().take();
    const used = new Set(memoryOf(first));
    assert.ok(memoryOf(second).every((block) => !used.has(block)));
    first.release();
    first.release();
    collectLarge().discard();
    const third = collectLarge().take();
    assert.deepEqual(new Set(memoryOf(third)), used);
    assert.equal(memoryOf(third).length, used.size);
  });
});

describe("OverheadMeter", () => {
  it("should allow any payload in small chunks, and no overhead without end", () => {
    const meter = new OverheadMeter();
    for (let n = 0; n < 200_000; n++) {
      assert.ok(meter.recordRead(10 + 9));
      meter.recordPayload(10);
    }
    let bytes = 0;
    while (meter.recordRead(1_024)) bytes += 1_024;
    assert.ok(bytes <= MIB / 4);
    meter.reset();
    assert.ok(meter.recordRead(1_024));
  });
});
