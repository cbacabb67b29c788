import assert from "node:assert/strict";
import type { IncomingMessage } from "node:http";
import { PassThrough } from "node:stream";
import { describe, it } from "node:test";
import { BodyMemory } from "../core/limits/body_memory.ts";
import { BodyReader } from "./body_reader.ts";

const IDLE_TIMEOUT_MS = 1_000;
const LIMIT_BYTES = 10_000;

function setUp() {
  let nowMs = 0;
  const stream = Object.assign(new PassThrough(), { headers: {} });
  const memory = new BodyMemory({ limitBytes: LIMIT_BYTES, smallBytes: 0 });
  const reader = new BodyReader(stream as unknown as IncomingMessage, {
    limitBytes: LIMIT_BYTES,
    memory,
    clock: { monotonicMs: () => nowMs, wallMs: () => 0 },
  });
  const passMs = (ms: number) => {
    nowMs += ms;
    reader.checkProgress(nowMs, IDLE_TIMEOUT_MS);
  };
  return { stream, memory, reader, passMs };
}

describe("BodyReader", () => {
  // Guards against a body that stops short of its end and keeps its memory for as long as its client likes.
  it("should refuse a body that has stopped arriving, and free its memory", async () => {
    const { stream, memory, reader, passMs } = setUp();
    const result = reader.read();
    stream.write("part");
    assert.ok(memory.used > 0);
    passMs(IDLE_TIMEOUT_MS);
    const body = await result;
    assert.deepEqual(!body.ok && body.error, {
      tag: "too_slow",
      idleMs: IDLE_TIMEOUT_MS,
    });
    assert.equal(memory.used, 0);
  });

  it("should read a body that arrives slowly", async () => {
    const { stream, reader, passMs } = setUp();
    const result = reader.read();
    for (const part of ["a", "b", "c"]) {
      passMs(IDLE_TIMEOUT_MS - 1);
      stream.write(part);
    }
    stream.end();
    const body = await result;
    assert.equal(body.ok && body.value?.toString(), "abc");
    passMs(IDLE_TIMEOUT_MS);
  });
});
