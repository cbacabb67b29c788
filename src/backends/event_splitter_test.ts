import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { describe, it } from "node:test";
import fc from "fast-check";
import { EventSplitter } from "./event_splitter.ts";

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
});
