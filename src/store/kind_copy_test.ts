import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import type { StoredObject } from "../platform/object_store.ts";
import { KindCopy } from "./kind_copy.ts";

const KIND = "servers";

function object(name: string, revision: number): StoredObject {
  return { name, revision, spec: { at: revision }, status: null };
}

function namesOf(copy: KindCopy): string[] {
  const all = copy.changesSince(undefined)?.objects ?? [];
  return all.map(({ name, revision }) => `${name}@${revision}`).sort();
}

describe("copy of a kind", () => {
  it("should tell a VM that knows nothing all objects", () => {
    const copy = new KindCopy(KIND);
    copy.takeList({ objects: [object("a", 3), object("b", 5)], revision: 7 });
    const told = copy.changesSince(undefined);
    assert.equal(told?.whole, true);
    assert.equal(told?.objects.length, 2);
  });

  it("should tell only what has changed since a revision", () => {
    const copy = new KindCopy(KIND);
    copy.takeList({ objects: [object("a", 3), object("b", 5)], revision: 7 });
    copy.takeEvents([
      { object: object("a", 8), deleted: false },
      { object: object("b", 9), deleted: true },
    ], 9);
    assert.deepEqual(copy.changesSince(7), {
      kind: KIND,
      whole: false,
      revision: 9,
      objects: [object("a", 8)],
      removed: [object("b", 9)],
    });
    assert.equal(copy.changesSince(9), undefined);
  });

  it("should tell of objects that a later list lacks", () => {
    const copy = new KindCopy(KIND);
    copy.takeList({ objects: [object("a", 3), object("b", 5)], revision: 7 });
    const news = copy.takeList({ objects: [object("a", 3)], revision: 12 });
    assert.deepEqual(news.removed.map(({ name }) => name), ["b"]);
    const removed = copy.changesSince(7)?.removed ?? [];
    assert.deepEqual(removed.map(({ name, revision }) => [name, revision]), [
      ["b", 12],
    ]);
  });

  it("should not bring back a removed object by old news", () => {
    const copy = new KindCopy(KIND);
    copy.takeList({ objects: [object("a", 3)], revision: 4 });
    copy.takeEvents([{ object: object("a", 5), deleted: true }], 5);
    const news = copy.takeEvents(
      [{ object: object("a", 3), deleted: false }],
      5,
    );
    assert.deepEqual(news.changed, []);
    assert.deepEqual(namesOf(copy), []);
  });

  // A gateway had no server left after two had gone and come back under their ids within the
  // 120 ms of one batch: listeners are told what changed before what was removed.
  it("should tell an object that is removed and made anew in one batch as changed only", () => {
    const copy = new KindCopy(KIND);
    copy.takeList({ objects: [object("a", 3), object("b", 4)], revision: 4 });
    const news = copy.takeEvents([
      { object: object("a", 5), deleted: true },
      { object: object("b", 6), deleted: false },
      { object: object("a", 7), deleted: false },
      { object: object("b", 8), deleted: true },
    ], 8);
    assert.deepEqual(news.changed, [object("a", 7)]);
    assert.deepEqual(news.removed, [object("b", 8)]);
  });

  it("should not go back to an older list", () => {
    const copy = new KindCopy(KIND);
    copy.takeList({ objects: [object("a", 9)], revision: 9 });
    copy.takeList({ objects: [], revision: 4 });
    assert.deepEqual(namesOf(copy), ["a@9"]);
    assert.equal(copy.revision, 9);
  });

  it("should keep copies alike that tell each other in any order", () => {
    const change = fc.record({
      name: fc.constantFrom("a", "b", "c"),
      deleted: fc.boolean(),
      asked: fc.constantFrom(0, 1),
      teller: fc.constantFrom(0, 1, 2),
    });
    fc.assert(
      fc.property(fc.array(change, { maxLength: 40 }), (changes) => {
        const first = new KindCopy(KIND);
        const copies = [first, new KindCopy(KIND), new KindCopy(KIND)];
        first.takeList({ objects: [], revision: 1 });
        let revision = 1;
        for (const { name, deleted, asked, teller } of changes) {
          revision += 1;
          const event = { object: object(name, revision), deleted };
          first.takeEvents([event], revision);
          const told = copies[teller]?.changesSince(copies[asked]?.revision);
          if (told !== undefined) copies[asked]?.takeChanges(told);
        }
        const last = copies[2];
        const told = first.changesSince(last?.revision);
        if (told !== undefined) last?.takeChanges(told);
        assert.deepEqual(namesOf(last as KindCopy), namesOf(first));
      }),
      { seed: 7, numRuns: 300 },
    );
  });
});
