import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { BodyMemory, type BodyReservation } from "./body_memory.ts";

const LIMITS = { limitBytes: 1_000_000, smallBytes: 40_000 };
const SMALL_BODY_BYTES = 16_384;

/** Reserves memory for a body of which something has arrived at `atMs`. */
function reserve(
  memory: BodyMemory,
  { bytes, atMs }: { bytes: number; atMs: number },
): { body: BodyReservation; evicted: () => boolean; fits: boolean } {
  const state = { evicted: false };
  const body: BodyReservation = memory.open(() => {
    state.evicted = true;
    body.release();
  });
  body.progressMs = atMs;
  return { body, evicted: () => state.evicted, fits: body.growTo(bytes) };
}

describe("BodyMemory", () => {
  // Guards against small bodies that were always accepted, and whose sum had no limit.
  it("should have a limit for small bodies as well", () => {
    const memory = new BodyMemory(LIMITS);
    reserve(memory, { bytes: 1_000_000, atMs: 0 });
    const small = { bytes: SMALL_BODY_BYTES, atMs: 0 };
    assert.ok(reserve(memory, small).fits);
    assert.ok(reserve(memory, small).fits);
    assert.equal(reserve(memory, small).fits, false);
    assert.equal(reserve(memory, { bytes: 20_000, atMs: 0 }).fits, false);
  });

  // Guards against bodies that stop short of their end and keep out all others.
  it("should give the memory of the body that has stalled longest to another", () => {
    const memory = new BodyMemory(LIMITS);
    const older = reserve(memory, { bytes: 500_000, atMs: 10 });
    const newer = reserve(memory, { bytes: 500_000, atMs: 20 });
    assert.equal(reserve(memory, { bytes: 400_000, atMs: 900 }).fits, false);
    assert.ok(reserve(memory, { bytes: 400_000, atMs: 1_500 }).fits);
    assert.deepEqual([older.evicted(), newer.evicted()], [true, false]);
    assert.equal(memory.used, 900_000);
  });

  it("should not evict a body that is complete", () => {
    const memory = new BodyMemory(LIMITS);
    const complete = reserve(memory, { bytes: 800_000, atMs: 0 });
    complete.body.complete();
    assert.equal(reserve(memory, { bytes: 400_000, atMs: 9_000 }).fits, false);
    assert.equal(complete.evicted(), false);
    complete.body.release();
    assert.equal(memory.used, 0);
  });
});
