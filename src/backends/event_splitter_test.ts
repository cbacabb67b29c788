import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { describe, it } from "node:test";
import fc from "fast-check";
import { EventSplitter } from "./event_splitter.ts";

const STREAM = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

describe("event splitter", () => {
  it("should pass on whole events only, however the bytes are cut", () => {
    const cuts = fc.array(fc.integer({ min: 0, max: STREAM.length }));
    fc.assert(
      fc.property(cuts, (places) => {
        const splitter = new EventSplitter();
        const ends = [...places, STREAM.length].sort((a, b) => a - b);
        let passed = "";
        let from = 0;
        for (const end of ends) {
          const whole = splitter.push(Buffer.from(STREAM.slice(from, end)));
          from = end;
          passed += whole?.bytes.toString() ?? "";
          assert.ok(passed === "" || passed.endsWith("\n\n"));
        }
        assert.equal(passed, STREAM);
        assert.equal(splitter.rest().length, 0);
      }),
      { seed: 1 },
    );
  });

  it("should tell the id of the last whole event", () => {
    const splitter = new EventSplitter();
    const whole = splitter.push(Buffer.from("id: 7\ndata: a\n\nid: 8\nda"));
    assert.equal(whole?.lastId, "7");
    assert.equal(splitter.pendingBytes, "id: 8\nda".length);
  });
});
