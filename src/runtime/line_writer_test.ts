import assert from "node:assert/strict";
import { Writable } from "node:stream";
import { describe, it } from "node:test";
import { LineWriter } from "./line_writer.ts";

/** A stream that reads nothing until `release` is called. */
class BlockedReader extends Writable {
  readonly lines: string[] = [];
  #pending: (() => void)[] = [];
  isBlocked = true;

  override _write(chunk: unknown, _encoding: string, done: () => void): void {
    this.lines.push(String(chunk).trimEnd());
    if (this.isBlocked) this.#pending.push(done);
    else done();
  }

  release(): void {
    this.isBlocked = false;
    const pending = this.#pending;
    this.#pending = [];
    for (const done of pending) done();
  }
}

describe("line writer", () => {
  it("should drop lines while the reader is blocked, and report their number afterwards", () => {
    const reader = new BlockedReader();
    const writer = new LineWriter(reader, { maxBufferedBytes: 25 });
    for (let n = 0; n < 10; n++) writer.write("0123456789");
    assert.ok(writer.dropped >= 7);
    const { dropped } = writer;
    reader.release();
    writer.write("later");
    assert.ok(reader.lines.some((line) => line.includes(`"lines":${dropped}`)));
    assert.equal(reader.lines.at(-1), "later");
  });

  it("should limit the number of lines per second", () => {
    const reader = new BlockedReader();
    reader.release();
    let nowMs = 0;
    const writer = new LineWriter(reader, {
      maxLinesPerSecond: 5,
      nowMs: () => nowMs,
    });
    for (let n = 0; n < 20; n++) writer.write("line");
    assert.equal(reader.lines.length, 5);
    nowMs = 1_000;
    writer.write("next");
    assert.equal(reader.lines.at(-1), "next");
    assert.equal(writer.dropped, 15);
  });

  it("should not throw after its reader was closed", () => {
    const reader = new BlockedReader();
    const writer = new LineWriter(reader);
    reader.destroy(new Error("Reader closed"));
    assert.doesNotThrow(() => writer.write("line"));
  });
});
