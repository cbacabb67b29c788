import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { describe, it } from "node:test";
import fc from "fast-check";
import { nextLineSlice } from "./line_slices.ts";

function slices(text: string): string[] {
  const bytes = Buffer.from(text, "latin1");
  const found: string[] = [];
  for (let at = 0; at < bytes.length;) {
    const { end } = nextLineSlice(bytes, at);
    assert.ok(end > at);
    found.push(bytes.toString("latin1", at, end));
    at = end;
  }
  return found;
}

const HEAD = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";

describe("nextLineSlice", () => {
  it("should end behind each blank line", () => {
    assert.deepEqual(slices(HEAD.repeat(3)), [HEAD, HEAD, HEAD]);
    assert.deepEqual(slices("a\n\nb\n\n"), ["a\n\n", "b\n\n"]);
  });

  it("should end behind a blank line that began in earlier bytes", () => {
    assert.deepEqual(slices(`\r\n${HEAD}`), ["\r\n", HEAD]);
    assert.deepEqual(slices(`\n${HEAD}`), ["\n", HEAD]);
  });

  it("should limit the lines of a part", () => {
    const parts = slices("1\r\nx\r\n".repeat(1_000));
    for (const part of parts) assert.ok(part.split("\n").length - 1 <= 257);
  });

  // Guards against two requests that are parsed together, wherever the reads are cut.
  it("should hold the end of at most one head, and lose no byte", () => {
    const piece = fc.constantFrom("\r\n", "\n", "a: b", "GET / HTTP/1.1", "\r");
    fc.assert(
      fc.property(fc.array(piece, { maxLength: 40 }), (pieces) => {
        const text = pieces.join("");
        const parts = slices(text);
        assert.equal(parts.join(""), text);
        for (const part of parts) {
          const blankLines = part.match(/\n\r?\n/g)?.length ?? 0;
          assert.ok(blankLines <= 1);
          if (/^\r?\n/.test(part)) assert.equal(blankLines, 0);
        }
      }),
      { seed: 7 },
    );
  });
});
