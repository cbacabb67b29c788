import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import type { Crash } from "../core/crashes/crash.ts";
import { CrashHistory } from "../core/crashes/crash_history.ts";
import type { AccountId, RequestKey, ServerLife } from "../core/ids.ts";
import { HttpObjectStore } from "../platform/http_object_store.ts";
import { SilentLogger } from "../runtime/logger.ts";
import { ObjectStoreStandin } from "../standins/object_store_standin.ts";
import { CrashRegistry } from "./crash_registry.ts";

const KIND = "fieldrack-crashes";
const REQUEST = "poison" as RequestKey;
/** Between calls of one registry, and after the last crash. */
const STEP_MS = 3_000;
/** Time of day at the start of the first VM's monotonic clock. */
const WALL_MS = 1_700_000_000_000;

let store: ObjectStoreStandin;
let client: HttpObjectStore;

beforeEach(async () => {
  store = new ObjectStoreStandin();
  client = new HttpObjectStore(await store.listen());
});

afterEach(async () => {
  await client.close();
  await store.close();
});

/** A VM that started so long after the first one. */
class Vm {
  readonly book = new CrashHistory();
  readonly #registry: CrashRegistry;
  nowMs = 0;

  constructor(startedMs = 0) {
    this.#registry = new CrashRegistry({
      objectStore: client,
      crashHistory: this.book,
      clock: {
        monotonicMs: () => this.nowMs,
        wallMs: () => WALL_MS + startedMs + this.nowMs,
      },
      logger: new SilentLogger(),
    });
  }

  /** Waits a while, then reads or writes what is due. */
  async step(): Promise<void> {
    this.nowMs += STEP_MS;
    const read = await this.#registry.update();
    for (const crash of read) this.book.recordCrash(crash, this.nowMs);
  }

  /** Sees servers end under a request, one each second. */
  crash(request: RequestKey, count: number): void {
    for (let n = 0; n < count; n++) {
      this.nowMs += 1_000;
      const before = this.book.crashesOf(request);
      this.book.recordCrash(
        crashAt(this.nowMs, { request, before }),
        this.nowMs,
      );
    }
  }
}

function crashAt(
  endedMs: number,
  { request, before }: { request: RequestKey; before: readonly Crash[] },
): Crash {
  const n = before.length + 1;
  return {
    request,
    account: "shop" as AccountId,
    life: `i-${n}` as ServerLife,
    address: `10.0.0.${n}:1`,
    after: before.map(({ life }) => life),
    beganMs: endedMs - 50,
    endedMs,
    serviceSize: 8,
  };
}

describe("registry of requests that crash servers", () => {
  it("should let a VM know that starts after all others have ended", async () => {
    const first = new Vm();
    await first.step();
    first.crash(REQUEST, 3);
    await first.step();
    const second = new Vm(60_000);
    await second.step();
    const standing = second.book.quarantineStatus(
      REQUEST,
      second.nowMs + STEP_MS,
    );
    assert.equal(standing.tag, "quarantined");
  });

  it("should write nothing of requests that are only suspected", async () => {
    const vm = new Vm();
    await vm.step();
    vm.crash(REQUEST, 2);
    await vm.step();
    assert.deepEqual(store.objects.list(KIND), []);
  });

  it("should write a request once, whatever it hears again, and again for a new crash", async () => {
    const vm = new Vm();
    await vm.step();
    vm.crash(REQUEST, 3);
    await vm.step();
    const { calls } = store;
    await vm.step();
    assert.equal(store.calls, calls);
    vm.crash(REQUEST, 1);
    await vm.step();
    const [object] = store.objects.list(KIND);
    const { crashes } = object?.spec as { crashes: unknown[] };
    assert.equal(crashes.length, 4);
  });

  it("should pass over objects that it does not understand", async () => {
    const first = new Vm();
    await first.step();
    first.crash(REQUEST, 3);
    await first.step();
    store.objects.put(KIND, { name: "other", spec: { crashes: "none" } });
    const second = new Vm(60_000);
    await second.step();
    assert.deepEqual([...second.book.crashingRequests], [REQUEST]);
  });

  it("should read again where the store was away", async () => {
    const first = new Vm();
    await first.step();
    first.crash(REQUEST, 3);
    await first.step();
    store.setFaults({ down: true });
    const second = new Vm(60_000);
    await second.step();
    assert.ok(second.book.isEmpty);
    store.setFaults({});
    await second.step();
    assert.deepEqual([...second.book.crashingRequests], [REQUEST]);
  });
});
