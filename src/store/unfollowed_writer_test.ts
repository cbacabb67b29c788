import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { HttpObjectStore } from "../platform/http_object_store.ts";
import type { StorePosition } from "../platform/object_store.ts";
import { MAX_DIGEST_WRITES } from "../protocol/digest_schema.ts";
import { ObjectStoreStandin } from "../standins/object_store_standin.ts";
import { SeenRevisions } from "./seen_revisions.ts";
import { UnfollowedWriter } from "./unfollowed_writer.ts";

const KEY = { kind: "fieldrack-vms", name: "a" };
const ADVERTISE_MS = 3_000;

let store: ObjectStoreStandin;
let client: HttpObjectStore;
let nowMs: number;

beforeEach(async () => {
  nowMs = 0;
  store = new ObjectStoreStandin();
  client = new HttpObjectStore(await store.listen());
});

afterEach(async () => {
  await client.close();
  await store.close();
});

/** The writer of one VM, and what that VM has seen. */
class Vm {
  readonly seen = new SeenRevisions();
  readonly writer = new UnfollowedWriter({
    objectStore: client,
    seenRevisions: this.seen,
    clock: { monotonicMs: () => nowMs, wallMs: () => 0 },
  });

  async put(spec: string): Promise<StorePosition> {
    const result = await this.writer.put(KEY, { timeoutMs: 1_000, spec });
    assert.ok(result.ok);
    const { era, revision } = result.value;
    return { era, revision };
  }

  /** Whether this VM has seen the change that led to a position. */
  hasSeen({ era, revision }: StorePosition): boolean {
    const after = { era, revision: revision - 1 };
    return this.seen.hasAll({ after, upTo: { era, revision } });
  }
}

describe("writer of unfollowed objects", () => {
  it("should create an object, then replace it", async () => {
    const vm = new Vm();
    await vm.put("first");
    await vm.put("second");
    const { kind, name } = KEY;
    assert.equal(store.objects.get(kind, name)?.spec, "second");
  });

  it("should let its own VM and those it advertises to see the write", async () => {
    const vm = new Vm();
    const other = new Vm();
    const position = await vm.put("spec");
    assert.ok(vm.hasSeen(position));
    assert.ok(!other.hasSeen(position));
    other.writer.receive(vm.writer.writesToAdvertise());
    assert.ok(other.hasSeen(position));
  });

  it("should tell its listener of each write, but not of a failed one", async () => {
    const vm = new Vm();
    let told = 0;
    vm.writer.onWrite(() => told += 1);
    await vm.put("spec");
    assert.equal(told, 1);
    store.setFaults({ down: true });
    await vm.writer.put(KEY, { timeoutMs: 1_000, spec: "other" });
    assert.equal(told, 1);
  });

  it("should advertise writes for a time, and a bounded number of them", async () => {
    const vm = new Vm();
    const first = await vm.put("spec");
    nowMs = ADVERTISE_MS;
    assert.deepEqual(vm.writer.writesToAdvertise(), [first]);
    nowMs += 1;
    assert.deepEqual(vm.writer.writesToAdvertise(), []);
    for (let n = 0; n <= MAX_DIGEST_WRITES; n++) await vm.put(`spec ${n}`);
    assert.equal(vm.writer.writesToAdvertise().length, MAX_DIGEST_WRITES);
  });
});
