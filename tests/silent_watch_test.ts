/**
 * Seen: an evacuation, a draining server and a roll-out that were ordered while the watches of
 * the store told nothing never came into force, although the store answered every other call.
 * A watch waits 25 s, and one that then answered with no event and a later revision moved the
 * copy past the order. Cause: these kinds were known by watches alone; what a VM knows of the
 * configuration is also read. Proof: the same orders with watches that work are in force at
 * once, and the store's calls show that nothing read the kinds.
 */

import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import type { RawRequest, RawServer } from "./fixtures/raw_server.ts";
import {
  answerBytes,
  routeWire,
  TestGateway,
} from "./fixtures/test_gateway.ts";
import { until } from "./fixtures/test_fleet.ts";

const BOUNDS = { evacuationMs: 5_000 };
const SOUTH = { Zone: "south" };
/** Requests one after the other; a VM sends them all to its own data centre, if it may. */
const CALLS = 10;
/**
 * Calls of the store within which an order is to be in force: the one after which the order is
 * noticed, and a list of each kind. Without an order in force a VM makes one every 1.5 s.
 */
const STORE_CALLS = 12;

let gateway: TestGateway;
let near: RawServer;

beforeEach(async () => {
  gateway = new TestGateway();
  await gateway.start([routeWire()], BOUNDS);
  near = await gateway.addServer("i-1", answerWhole);
  await gateway.addServer("i-2", answerWhole, SOUTH);
  await until(async () => !(await isPassedBy(near)));
  gateway.store.setFaults({ watchesStuck: true });
});

afterEach(() => gateway.stop());

const answerWhole = ({ socket }: RawRequest) => socket.write(answerBytes());

/** Whether some requests all passed a server by, and were served. */
async function isPassedBy(server: RawServer): Promise<boolean> {
  const before = server.requests.length;
  for (let n = 0; n < CALLS; n++) {
    if ((await gateway.call("/stock/1")).status !== 200) return false;
  }
  return server.requests.length === before;
}

/** Waits until a server gets nothing more, or the store was called too often. */
async function assertPassedBy(server: RawServer): Promise<void> {
  const before = gateway.store.calls;
  let passedBy = false;
  await until(async () => {
    passedBy = await isPassedBy(server);
    return passedBy || gateway.store.calls - before > STORE_CALLS;
  });
  assert.ok(passedBy, "order came into force though watches told nothing");
}

describe("an order that no watch tells of", () => {
  it("should evacuate a data centre", async () => {
    gateway.store.objects.put("evacuations", { name: "north", spec: {} });
    await assertPassedBy(near);
  });

  it("should be in force also where watches have answered without it", async () => {
    gateway.store.setFaults({ watchesEmpty: true });
    gateway.store.objects.put("evacuations", { name: "north", spec: {} });
    await assertPassedBy(near);
  });

  it("should drain a server", async () => {
    const { spec } = gateway.store.objects.get("servers", "i-1") ?? {};
    const draining = { ...spec as object, State: "draining" };
    gateway.store.objects.put("servers", { name: "i-1", spec: draining });
    await assertPassedBy(near);
  });

  it("should remove a server", async () => {
    gateway.store.objects.remove("servers", "i-1");
    await assertPassedBy(near);
  });

  it("should be taken back as well", async () => {
    gateway.store.objects.put("evacuations", { name: "north", spec: {} });
    await assertPassedBy(near);
    gateway.store.objects.remove("evacuations", "north");
    await until(async () => !(await isPassedBy(near)));
  });
});
