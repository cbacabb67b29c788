import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import type { Crash, ServerCrash } from "../core/crashes/crash.ts";
import { CrashHistory } from "../core/crashes/crash_history.ts";
import type {
  AccountId,
  PartKey,
  RequestKey,
  ServerIncarnation,
} from "../core/ids.ts";
import { HttpObjectStore } from "../platform/http_object_store.ts";
import { SilentLogger } from "../runtime/logger.ts";
import { createStoreEraMonitor } from "../../tests/fixtures/store_era.ts";
import { createUnfollowedWriter } from "../../tests/fixtures/unfollowed_writer.ts";
import { ObjectStoreStandin } from "../standins/object_store_standin.ts";
import { CrashRegistry } from "./crash_registry.ts";

const KIND = "fieldrack-crashes";
const REQUEST = "poison" as RequestKey;
/** Longer than the interval between calls and the delay of writes. */
const STEP_MS = 3_000;
/** Wall clock time at the start of the first VM's monotonic clock. */
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

/** A VM that started `startedMs` after the first one. */
class Vm {
  readonly history = new CrashHistory();
  readonly #registry: CrashRegistry;
  nowMs = 0;

  constructor(startedMs = 0) {
    this.#registry = new CrashRegistry({
      objectStore: client,
      unfollowedWriter: createUnfollowedWriter(client),
      storeEraMonitor: createStoreEraMonitor(client),
      crashHistory: this.history,
      clock: {
        monotonicMs: () => this.nowMs,
        wallMs: () => WALL_MS + startedMs + this.nowMs,
      },
      logger: new SilentLogger(),
    });
  }

  get isLoaded(): boolean {
    return this.#registry.isLoaded;
  }

  /** Reads the stored crashes as at the start of a VM. */
  async load(): Promise<void> {
    await this.#registry.load((crashes) => {
      for (const crash of crashes) this.history.recordCrash(crash, this.nowMs);
    });
  }

  /** Advances the clock, then synchronizes with the store. */
  async step(): Promise<void> {
    this.nowMs += STEP_MS;
    const read = await this.#registry.sync();
    for (const crash of read) this.history.recordCrash(crash, this.nowMs);
  }

  /** Records crashes of servers under a request, one each second. */
  crash(request: RequestKey, count: number): void {
    for (let n = 0; n < count; n++) {
      this.nowMs += 1_000;
      const before = this.history.crashesOf(request);
      this.history.recordCrash(
        crashAt(this.nowMs, { request, before }),
        this.nowMs,
      );
    }
  }
}

function crashAt(
  endedMs: number,
  { request, before }: { request: RequestKey; before: readonly ServerCrash[] },
): Crash {
  const n = before.length + 1;
  return {
    request,
    parts: [],
    account: "shop" as AccountId,
    life: `i-${n}` as ServerIncarnation,
    address: `10.0.0.${n}:1`,
    after: before.map(({ life }) => life),
    beganMs: endedMs - 50,
    endedMs,
    serviceSize: 8,
  };
}

describe("registry of requests that crash servers", () => {
  it("should restore a quarantine on a VM that starts after all others have stopped", async () => {
    const first = new Vm();
    await first.step();
    first.crash(REQUEST, 3);
    await first.step();
    const second = new Vm(60_000);
    await second.step();
    const status = second.history.quarantineStatus(
      { request: REQUEST, parts: [] },
      second.nowMs + STEP_MS,
    );
    assert.equal(status.tag, "quarantined");
  });

  it("should not write requests that are only suspected", async () => {
    const vm = new Vm();
    await vm.step();
    vm.crash(REQUEST, 2);
    await vm.step();
    assert.deepEqual(store.objects.list(KIND), []);
  });

  it("should write a request once, and again only for a new crash", async () => {
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

  // At the maximum number of objects, further crashes of what is stored already were not written
  // either, so that after a restart of all VMs its quarantine had ended too early.
  it("should write new crashes of a stored request when no more requests are stored", async () => {
    const vm = new Vm();
    for (let n = 0; n < 199; n++) {
      store.objects.put(KIND, { name: `r-${n}`, spec: { crashes: [] } });
    }
    await vm.step();
    vm.crash(REQUEST, 3);
    await vm.step();
    vm.crash(REQUEST, 1);
    await vm.step();
    const stored = store.objects.get(KIND, REQUEST);
    const { crashes } = stored?.spec as { crashes: unknown[] };
    assert.equal(crashes.length, 4);
    vm.crash("one too many" as RequestKey, 3);
    await vm.step();
    assert.equal(store.objects.list(KIND).length, 200);
  });

  // What was stored once was never written again, so that a restored store lacked it for good.
  it("should write a request again that a restored store lacks", async () => {
    const vm = new Vm();
    await vm.step();
    const copy = store.objects.copy();
    vm.crash(REQUEST, 3);
    await vm.step();
    store.objects.restore(copy);
    // Some call must reveal the restore; the gateway confirms its configuration all the time.
    await client.list("config", { timeoutMs: STEP_MS });
    await vm.step();
    await vm.step();
    const [object] = store.objects.list(KIND);
    assert.equal(object?.name, REQUEST);
  });

  it("should restore the quarantine of a prompt part, without parts that were cleared", async () => {
    const first = new Vm();
    await first.step();
    for (const n of [1, 2, 3]) {
      first.nowMs += 2_000;
      const request = `r-${n}` as RequestKey;
      const crash = crashAt(first.nowMs, { request, before: [] });
      first.history.recordCrash({
        ...crash,
        parts: ["shared", "bad"] as PartKey[],
        life: `i-${n}` as ServerIncarnation,
        address: `10.0.0.${n}:1`,
      }, first.nowMs);
    }
    const part = "shared" as PartKey;
    first.history.recordCompletion({ part, atMs: first.nowMs }, first.nowMs);
    await first.step();
    const second = new Vm(60_000);
    await second.load();
    assert.deepEqual(second.history.culprits.map(({ id }) => id), ["bad"]);
  });

  it("should read the crashes of an object that names no request and no parts", async () => {
    const first = new Vm();
    await first.step();
    first.crash(REQUEST, 3);
    await first.step();
    const [object] = store.objects.list(KIND);
    const { crashes } = object?.spec as { crashes: object[] };
    const earlier = crashes.map((crash) => ({ ...crash, request: undefined }));
    store.objects.put(KIND, { name: REQUEST, spec: { crashes: earlier } });
    const second = new Vm(60_000);
    await second.load();
    assert.deepEqual(second.history.culprits.map(({ id }) => id), [REQUEST]);
  });

  it("should let no request start until a VM has read the stored crashes", async () => {
    const vm = new Vm();
    assert.equal(vm.isLoaded, false);
    await vm.load();
    assert.equal(vm.isLoaded, true);
  });

  it("should let requests start after a second if the store is unavailable", () => {
    const vm = new Vm();
    vm.nowMs = 999;
    assert.equal(vm.isLoaded, false);
    vm.nowMs = 1_000;
    assert.equal(vm.isLoaded, true);
  });

  it("should skip objects that cannot be decoded", async () => {
    const first = new Vm();
    await first.step();
    first.crash(REQUEST, 3);
    await first.step();
    store.objects.put(KIND, { name: "other", spec: { crashes: "none" } });
    const second = new Vm(60_000);
    await second.step();
    assert.deepEqual(second.history.culprits.map(({ id }) => id), [REQUEST]);
  });

  it("should read again after the store was unavailable", async () => {
    const first = new Vm();
    await first.step();
    first.crash(REQUEST, 3);
    await first.step();
    store.setFaults({ down: true });
    const second = new Vm(60_000);
    await second.step();
    assert.ok(second.history.isEmpty);
    store.setFaults({});
    await second.step();
    assert.deepEqual(second.history.culprits.map(({ id }) => id), [REQUEST]);
  });
});
