import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { RequestMemory } from "./request_memory.ts";

const MEMORY_MB = 350;
/** Memory of a VM that the bodies of requests may take. */
const LIMIT_BYTES = 70_000_000;
const SMALL_BODY_BYTES = 16_384;
const BODIES = 60;

describe("RequestMemory", () => {
  // Guards against LOST: a VM that goes over its memory loses all requests that it has.
  it("should keep bodies within the limit, and free it when they are released", () => {
    const step = fc.record({
      at: fc.nat({ max: BODIES - 1 }),
      bytes: fc.oneof(
        fc.nat({ max: 4_194_304 }),
        fc.nat({ max: SMALL_BODY_BYTES }),
      ),
      isReleased: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
        const memory = new RequestMemory({
          vmSettings: { memoryMb: MEMORY_MB },
        });
        const bodies = Array.from({ length: BODIES }, () => memory.open());
        for (const { at, bytes, isReleased } of steps) {
          if (isReleased) bodies[at]?.release();
          else bodies[at]?.growTo(bytes);
          assert.ok(memory.used <= LIMIT_BYTES + BODIES * SMALL_BODY_BYTES);
        }
        for (const body of bodies) body.release();
        assert.equal(memory.used, 0);
      }),
      { seed: 9 },
    );
  });

  it("should accept small bodies while large ones use up the memory", () => {
    const memory = new RequestMemory({ vmSettings: { memoryMb: MEMORY_MB } });
    while (memory.open().growTo(2_000_000));
    assert.equal(memory.open().growTo(2_000_000), false);
    assert.equal(memory.open().growTo(SMALL_BODY_BYTES), true);
  });
});
