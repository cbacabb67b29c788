import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import type { EntryId } from "../core/ids.ts";
import { HttpObjectStore } from "../platform/http_object_store.ts";
import type { VmSettings } from "../platform/vm_settings_wire.ts";
import { SilentLogger } from "../runtime/logger.ts";
import { createStoreEraMonitor } from "../../tests/fixtures/store_era.ts";
import { createUnfollowedWriter } from "../../tests/fixtures/unfollowed_writer.ts";
import { ObjectStoreStandin } from "../standins/object_store_standin.ts";
import { VmRegistry } from "./vm_registry.ts";

let store: ObjectStoreStandin;
let client: HttpObjectStore;

beforeEach(async () => {
  store = new ObjectStoreStandin({ page: 1 });
  client = new HttpObjectStore(await store.listen());
});

afterEach(async () => {
  await client.close();
  await store.close();
});

function registry(vm: string, peers: string, nowMs = () => 0): VmRegistry {
  return new VmRegistry({
    objectStore: client,
    unfollowedWriter: createUnfollowedWriter(client),
    storeEraMonitor: createStoreEraMonitor(client),
    vmSettings: { vm: vm as EntryId, listen: { peers } } as VmSettings,
    clock: { monotonicMs: nowMs, wallMs: () => 0 },
    logger: new SilentLogger(),
  });
}

describe("registry of VMs", () => {
  it("should let a VM without peers discover the others, over several pages", async () => {
    await registry("a", "10.0.0.1:1").register();
    await registry("b", "10.0.0.2:1").register();
    const isolated = registry("c", "10.0.0.3:1");
    await isolated.refreshAddresses();
    assert.deepEqual(isolated.addresses, ["10.0.0.1:1", "10.0.0.2:1"]);
  });

  it("should let VMs that start together without seeds discover each other once registered", async () => {
    const first = registry("a", "10.0.0.1:1");
    const second = registry("b", "10.0.0.2:1");
    await first.register();
    await second.register();
    await first.refreshAddresses();
    await second.refreshAddresses();
    assert.deepEqual(first.addresses, ["10.0.0.1:1", "10.0.0.2:1"]);
    assert.deepEqual(second.addresses, first.addresses);
  });

  it("should register again with a restored store, which may lack the address", async () => {
    let nowMs = 0;
    const vm = registry("a", "10.0.0.1:1", () => nowMs);
    const copy = store.objects.copy();
    await vm.register();
    store.objects.restore(copy);
    await client.list("config", { timeoutMs: 1_000 });
    nowMs += 2_000;
    await vm.register();
    assert.equal(store.objects.list("fieldrack-vms").length, 1);
  });

  it("should replace the address of an earlier incarnation", async () => {
    await registry("a", "10.0.0.1:1").register();
    await registry("a", "10.0.0.9:1").register();
    const [object] = store.objects.list("fieldrack-vms");
    assert.deepEqual(object?.spec, { peers: "10.0.0.9:1" });
  });

  it("should not list again within the interval", async () => {
    let nowMs = 0;
    const isolated = registry("a", "10.0.0.1:1", () => nowMs);
    await isolated.refreshAddresses();
    const { calls } = store;
    nowMs = 500;
    await isolated.refreshAddresses();
    assert.equal(store.calls, calls);
  });
});
