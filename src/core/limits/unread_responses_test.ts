import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { UnreadResponses } from "./unread_responses.ts";

describe("UnreadResponses", () => {
  // Guards against responses that pile up while their callers do not read.
  it("should close the connection that has waited longest, until the rest fits", () => {
    let count = 0;
    const all = new UnreadResponses(100, () => count++);
    const closed: string[] = [];
    const open = (name: string) => all.open(() => closed.push(name));
    const [a, b, c] = [open("a"), open("b"), open("c")];
    a.setBytes(40);
    b.setBytes(40);
    a.setBytes(0);
    a.setBytes(40);
    c.setBytes(50);
    assert.deepEqual(closed, ["b"]);
    assert.equal(all.used, 90);
    c.setBytes(101);
    assert.deepEqual(closed, ["b", "a", "c"]);
    assert.equal(all.used, 0);
    assert.equal(count, 3);
  });
});
