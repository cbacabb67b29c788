/**
 * Guards against requests to an evacuated data centre, whose servers are still up and answer. With
 * 15 VMs, one VM that did not apply the evacuation sent 1,786 requests there after the 5 s that
 * operators allow, and went on until the evacuation ended.
 */

import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import type { RawRequest, RawServer } from "./fixtures/raw_server.ts";
import {
  answerBytes,
  chunkBytes,
  routeWire,
  STREAM_ROUTE,
  streamBytes,
  TestGateway,
} from "./fixtures/test_gateway.ts";
import { until } from "./fixtures/test_fleet.ts";

const BOUNDS = { evacuationMs: 5_000 };
/** Sequential requests; a VM sends all of them to its own data centre unless it is evacuated. */
const CALLS = 10;
/** Longer than any of these tests takes. */
const LONG_WAIT = { waitMs: 60_000 };
const SOUTH_ZONE = { Zone: "south" };

let gateway: TestGateway;

beforeEach(() => {
  gateway = new TestGateway();
});

afterEach(() => gateway.stop());

const answerWhole = ({ socket }: RawRequest) => socket.write(answerBytes());

function evacuate(dataCentre: string): void {
  gateway.store.objects.put("evacuations", { name: dataCentre, spec: {} });
}

async function untilServed(): Promise<void> {
  await until(async () => (await gateway.call("/stock/1")).status === 200);
}

/** Whether several requests were all served without reaching the given server. */
async function receivesNoRequests(server: RawServer): Promise<boolean> {
  const before = server.requests.length;
  for (let n = 0; n < CALLS; n++) {
    if ((await gateway.call("/stock/1")).status !== 200) return false;
  }
  return server.requests.length === before;
}

describe("an evacuated data centre", () => {
  it("should get no new requests until the evacuation is withdrawn", async () => {
    const { near } = await serveFromBoth();
    evacuate("north");
    await until(() => receivesNoRequests(near));
    gateway.store.objects.remove("evacuations", "north");
    await until(async () => !(await receivesNoRequests(near)));
  });

  it("should stay evacuated while the store is down, and after the store lost its history", async () => {
    const { near } = await serveFromBoth();
    evacuate("north");
    await until(() => receivesNoRequests(near));
    gateway.store.setFaults({ down: true });
    assert.ok(await receivesNoRequests(near));
    gateway.store.setFaults({});
    gateway.store.objects.compactHistory();
    gateway.store.objects.wakeWatches();
    assert.ok(await receivesNoRequests(near));
    gateway.store.objects.remove("evacuations", "north");
    await until(async () => !(await receivesNoRequests(near)));
  });

  it("should be known to a starting VM before it serves any request", async () => {
    evacuate("north");
    await gateway.start([routeWire()], BOUNDS);
    const near = await gateway.addServer("i-1", answerWhole);
    assert.equal((await gateway.call("/stock/1")).status, 503);
    await gateway.addServer("i-2", answerWhole, SOUTH_ZONE);
    await untilServed();
    assert.equal(near.requests.length, 0);
  });

  it("should cause refusals, reported as not run, where no other data centre is left", async () => {
    await gateway.start([routeWire()], BOUNDS);
    const server = await gateway.addServer("i-1", answerWhole);
    await untilServed();
    evacuate("north");
    await until(async () => (await gateway.call("/stock/1")).status === 503);
    const requestsBefore = server.requests.length;
    const answer = await gateway.call("/stock/1");
    assert.equal(answer.status, 503);
    assert.ok(Number(answer.headers["retry-after"]) > 0);
    assert.equal(server.requests.length, requestsBefore);
  });

  it("should let its open streams finish", async () => {
    const { body, south } = await streamFromSouth();
    evacuate("south");
    await untilRefused();
    const rest = chunkBytes("id: 2\ndata: b\n\n");
    for (const { socket } of south.requests) {
      socket.write(`${rest}0\r\n\r\n`);
    }
    assert.match(await body.text(), /data: a\n\nid: 2\ndata: b/);
  });

  it("should not get a broken stream back", async () => {
    const { body, south } = await streamFromSouth();
    evacuate("south");
    await untilRefused();
    const requestsBefore = south.requests.length;
    // Only the broken stream is resumed from its second event on.
    await gateway.addServer("i-1", ({ socket }) => {
      const whole = streamBytes("id: 2\ndata: north\n\n");
      socket.write(`${whole}0\r\n\r\n`);
    });
    await until(async () => (await gateway.call("/stock/2")).status === 200);
    for (const { socket } of south.requests) socket.destroy();
    assert.match(await body.text(), /data: a\n\nid: 2\ndata: north/);
    assert.equal(south.requests.length, requestsBefore);
  });
});

/**
 * Starts a VM in the north in front of a server of its own data centre, which it prefers, and one
 * in the south.
 */
async function serveFromBoth(): Promise<{ readonly near: RawServer }> {
  await gateway.start([routeWire()], BOUNDS);
  const near = await gateway.addServer("i-1", answerWhole);
  await gateway.addServer("i-2", answerWhole, SOUTH_ZONE);
  await until(async () => !(await receivesNoRequests(near)));
  return { near };
}

/** Opens a stream on a server in the south that has sent its first event. */
async function streamFromSouth() {
  await gateway.start([STREAM_ROUTE], BOUNDS);
  const south = await gateway.addServer(
    "i-2",
    ({ socket }) => socket.write(streamBytes("id: 1\ndata: a\n\n")),
    SOUTH_ZONE,
  );
  let body = await gateway.open("/stock/1", LONG_WAIT);
  await until(async () => {
    if (south.requests.length > 0) return true;
    body = await gateway.open("/stock/1", LONG_WAIT);
    return south.requests.length > 0;
  });
  return { body, south };
}

async function untilRefused(): Promise<void> {
  await until(async () => {
    try {
      const { status } = await gateway.call("/stock/2", { waitMs: 300 });
      return status === 503;
    } catch {
      // A stream that started before this VM received the evacuation is cut at its time limit.
      return false;
    }
  });
}
