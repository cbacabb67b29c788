import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { describe, it, type TestContext } from "node:test";
import fc from "fast-check";
import { EventSplitter } from "./event_splitter.ts";

/** Event sizes, one far larger than the other. */
const SHORT_BYTES = 4_096;
const LONG_BYTES = 200_000;
/** Ways to send an event in tiny chunks. */
const TINY_CHUNKS: Readonly<Record<string, string>> = {
  "chunks of two bytes": "zz",
  "comment lines": ": z\n",
  "data lines": "data: z\n",
};

/** Counts the bytes that buffers copy or search while an event is received in equal chunks. */
function countBytesProcessed(
  { mock }: TestContext,
  { unit, bytes }: { unit: string; bytes: number },
): number {
  let processed = 0;
  const { concat } = Buffer;
  const { copy, indexOf, lastIndexOf } = Buffer.prototype;
  mock.method(Buffer, "concat", (list: Buffer[]) => {
    const joined = concat(list);
    processed += joined.length;
    return joined;
  });
  for (const [name, method] of Object.entries({ copy, indexOf, lastIndexOf })) {
    mock.method(
      Buffer.prototype,
      name as "copy",
      function (this: Buffer, ...args: Parameters<Buffer["copy"]>) {
        processed += this.length;
        return (method as Buffer["copy"]).apply(this, args);
      },
    );
  }
  const splitter = new EventSplitter();
  for (let sent = 0; sent < bytes; sent += unit.length) {
    assert.equal(splitter.push(Buffer.from(unit)), undefined);
  }
  const events = splitter.push(Buffer.from("\n\n"));
  mock.restoreAll();
  const expected = unit.repeat(Math.ceil(bytes / unit.length)) + "\n\n";
  assert.equal(events?.bytes.toString(), expected);
  return processed;
}

const STREAM = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

describe("event splitter", () => {
  it("should return complete events only, wherever the bytes are split", () => {
    const splits = fc.array(fc.integer({ min: 0, max: STREAM.length }));
    fc.assert(
      fc.property(splits, (offsets) => {
        const splitter = new EventSplitter();
        const ends = [...offsets, STREAM.length].sort((a, b) => a - b);
        let returned = "";
        let start = 0;
        for (const end of ends) {
          const events = splitter.push(Buffer.from(STREAM.slice(start, end)));
          start = end;
          returned += events?.bytes.toString() ?? "";
          assert.ok(returned === "" || returned.endsWith("\n\n"));
        }
        assert.equal(returned, STREAM);
        assert.equal(splitter.pendingBytes, 0);
      }),
      { seed: 1 },
    );
  });

  it("should return the id of the last complete event", () => {
    const splitter = new EventSplitter();
    const events = splitter.push(Buffer.from("id: 7\ndata: a\n\nid: 8\nda"));
    assert.equal(events?.lastId, "7");
    assert.equal(splitter.pendingBytes, "id: 8\nda".length);
  });

  for (const [form, unit] of Object.entries(TINY_CHUNKS)) {
    // Guards against CONFIG: one event without end stopped a VM, as each chunk copied all before it.
    it(`should process each byte of a long event as often as of a short one, in ${form}`, (t) => {
      const short = countBytesProcessed(t, { unit, bytes: SHORT_BYTES });
      const long = countBytesProcessed(t, { unit, bytes: LONG_BYTES });
      const perByte = (count: number, bytes: number) => count / bytes;
      assert.ok(
        perByte(long, LONG_BYTES) <= 2 * perByte(short, SHORT_BYTES),
        `${short} of ${SHORT_BYTES}, ${long} of ${LONG_BYTES}`,
      );
    });
  }
});
