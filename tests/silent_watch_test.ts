/**
 * Guards against orders that never take effect while the store's watches deliver no events: an
 * evacuation, a draining server and a roll-out were missed, although the store answered all other
 * calls. A watch waits 25 s, and one that then returned no event and a later revision moved the
 * copy past the order. These kinds were only watched, whereas the rest of the configuration is also
 * polled: with working watches the same orders took effect immediately, and the store's calls
 * showed no read of these kinds.
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
/** Sequential requests; a VM sends them all to its own data centre if that is allowed. */
const REQUEST_COUNT = 10;
/**
 * Calls of the store within which an order must take effect: the one that reveals the order, and
 * a list of each kind. While no order is in force, a VM makes one call every 1.5 s.
 */
const MAX_STORE_CALLS = 12;

let gateway: TestGateway;
let near: RawServer;

beforeEach(async () => {
  gateway = new TestGateway();
  await gateway.start([routeWire()], BOUNDS);
  near = await gateway.addServer("i-1", answerWhole);
  await gateway.addServer("i-2", answerWhole, SOUTH);
  await until(async () => !(await isBypassed(near)));
  gateway.store.setFaults({ watchesStuck: true });
});

afterEach(() => gateway.stop());

const answerWhole = ({ socket }: RawRequest) => socket.write(answerBytes());

/** Whether a series of requests was served entirely by other servers. */
async function isBypassed(server: RawServer): Promise<boolean> {
  const before = server.requests.length;
  for (let n = 0; n < REQUEST_COUNT; n++) {
    if ((await gateway.call("/stock/1")).status !== 200) return false;
  }
  return server.requests.length === before;
}

/** Waits until a server gets no more requests; fails after too many calls of the store. */
async function assertBypassed(server: RawServer): Promise<void> {
  const before = gateway.store.calls;
  let bypassed = false;
  await until(async () => {
    bypassed = await isBypassed(server);
    return bypassed || gateway.store.calls - before > MAX_STORE_CALLS;
  });
  assert.ok(bypassed, "order came into force though watches told nothing");
}

describe("an order that no watch reports", () => {
  it("should evacuate a data centre", async () => {
    gateway.store.objects.put("evacuations", { name: "north", spec: {} });
    await assertBypassed(near);
  });

  it("should take effect even if watches have returned without it", async () => {
    gateway.store.setFaults({ watchesEmpty: true });
    gateway.store.objects.put("evacuations", { name: "north", spec: {} });
    await assertBypassed(near);
  });

  it("should drain a server", async () => {
    const { spec } = gateway.store.objects.get("servers", "i-1") ?? {};
    const draining = { ...spec as object, State: "draining" };
    gateway.store.objects.put("servers", { name: "i-1", spec: draining });
    await assertBypassed(near);
  });

  it("should remove a server", async () => {
    gateway.store.objects.remove("servers", "i-1");
    await assertBypassed(near);
  });

  it("should be revocable", async () => {
    gateway.store.objects.put("evacuations", { name: "north", spec: {} });
    await assertBypassed(near);
    gateway.store.objects.remove("evacuations", "north");
    await until(async () => !(await isBypassed(near)));
  });
});
