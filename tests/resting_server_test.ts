/**
 * Guards against sending requests to a server within the backoff that it asked for (`Retry-After`),
 * or after it has announced in a response that it is leaving. In a fleet of 7 VMs and 8 model
 * servers, two servers rejected all requests for 9 s: each VM sent them three or four more within
 * the 3 s of backoff, although six other servers were healthy. VMs did not read the header: they
 * avoided a server only by their own estimate, for 1.5 s after the third rejection in a row.
 * Neither queueing nor a lack of servers was the cause: each attempt reached its server within 4 ms
 * of being routed, and no other server was avoided.
 */

import assert from "node:assert/strict";
import { performance } from "node:perf_hooks";
import { afterEach, beforeEach, describe, it } from "node:test";
import { RestingServer, retryAfterBytes } from "./fixtures/resting_server.ts";
import {
  chunkBytes,
  routeWire,
  serverWire,
  STREAM_ROUTE,
  streamBytes,
  TestGateway,
} from "./fixtures/test_gateway.ts";
import { until } from "./fixtures/test_fleet.ts";

/** Time allowed for requests already in flight when a server asks for backoff. */
const IN_FLIGHT_MS = 500;
const RETRY_AFTER_S = 3;
/** Concurrent callers: enough to keep the accepting servers busy. */
const CALLERS = 24;

let gateway: TestGateway;
let servers: RestingServer[];

beforeEach(async () => {
  gateway = new TestGateway();
  servers = [];
  await gateway.start([routeWire()]);
});

afterEach(async () => {
  await gateway.stop();
  await Promise.all(servers.map((server) => server.close()));
});

async function addServer(patch: object = {}): Promise<RestingServer> {
  const server = new RestingServer();
  servers.push(server);
  gateway.store.objects.put("servers", {
    name: `i-${servers.length}`,
    spec: serverWire(await server.listen(), patch),
  });
  return server;
}

/** Calls until the server gets another request; returns the time of its arrival. */
async function untilReached(server: RestingServer): Promise<number> {
  const before = server.arrivedMs.length;
  await until(async () => {
    await gateway.call("/stock/1");
    return server.arrivedMs.length > before;
  });
  return server.arrivedMs[before] ?? 0;
}

/** Calls concurrently and repeatedly for a duration; returns the statuses. */
async function callFor(ms: number): Promise<number[]> {
  const statuses: number[] = [];
  const untilMs = performance.now() + ms;
  const calls = Array.from({ length: CALLERS }, async () => {
    while (performance.now() < untilMs) {
      statuses.push((await gateway.call("/stock/1")).status);
    }
  });
  await Promise.all(calls);
  return statuses;
}

/** Makes one call per caller, all concurrently; returns the statuses. */
async function callConcurrently(): Promise<number[]> {
  const calls = Array.from({ length: CALLERS }, () => gateway.call("/stock/1"));
  return (await Promise.all(calls)).map(({ status }) => status);
}

function eventText(id: number): string {
  return `id: ${id}\ndata: ${id}\n\n`;
}

describe("a server that asks for backoff", () => {
  it("should get no requests from a VM within that time", async () => {
    const rejecting = await addServer();
    await addServer();
    await addServer();
    await untilReached(rejecting);
    rejecting.retryAfter = String(RETRY_AFTER_S);
    const askedMs = await untilReached(rejecting);
    const statuses = await callFor(RETRY_AFTER_S * 1_000);
    const endMs = askedMs + RETRY_AFTER_S * 1_000;
    assert.equal(rejecting.arrivedBetween(askedMs + IN_FLIGHT_MS, endMs), 0);
    assert.deepEqual(statuses.filter((status) => status !== 200), []);
  });
});

describe("servers that ask for backoff", () => {
  it("should get no requests even if no other server is left, and callers should get Retry-After", async () => {
    const first = await addServer();
    const second = await addServer();
    await untilReached(first);
    await untilReached(second);
    first.retryAfter = String(RETRY_AFTER_S);
    second.retryAfter = String(2 * RETRY_AFTER_S);
    const askedMs = performance.now();
    // The request is tried on the first server, then on the second.
    const { status, headers } = await gateway.call("/stock/1");
    assert.equal(status, 503);
    const waitS = Number(headers["retry-after"]);
    assert.ok(
      waitS > RETRY_AFTER_S - 1 && waitS < 1.5 * RETRY_AFTER_S,
      `told ${waitS} s`,
    );
    const counts = servers.map(({ arrivedMs }) => arrivedMs.length);
    await callFor(RETRY_AFTER_S * 1_000 - 500);
    const untilMs = askedMs + RETRY_AFTER_S * 1_000;
    for (const [at, { arrivedMs }] of servers.entries()) {
      const within = arrivedMs.filter((atMs) => atMs < untilMs).length;
      assert.equal(within, counts[at]);
    }
  });

  it("should get few requests after it, and their full share once they accept one", async () => {
    const server = await addServer();
    await untilReached(server);
    server.retryAfter = "0.5";
    await untilReached(server);
    const before = server.arrivedMs.length;
    await until(async () => {
      await callConcurrently();
      return server.arrivedMs.length > before;
    });
    // The server is still full: only one of the concurrent requests probed it.
    assert.equal(server.arrivedMs.length, before + 1);
    server.retryAfter = undefined;
    await until(async () =>
      (await callConcurrently()).every((status) => status === 200)
    );
  });

  it("should be awaited by a stream that has begun", async () => {
    await gateway.stop();
    gateway = new TestGateway();
    await gateway.start([STREAM_ROUTE]);
    let full = true;
    const resumed: number[] = [];
    const { requests } = await gateway.addServer(
      "i-full",
      ({ text, socket }) => {
        if (full) return socket.write(retryAfterBytes(RETRY_AFTER_S));
        resumed.push(performance.now());
        const after = Number(/last-event-id: (\d+)/i.exec(text)?.[1] ?? 0);
        socket.write(streamBytes(after === 0 ? "" : eventText(after + 1)));
        socket.write(chunkBytes(""));
      },
    );
    let fullMs = 0;
    await until(async () => {
      fullMs = performance.now();
      // Requests are also rejected before the gateway has discovered the server.
      return (await gateway.call("/stock/1")).headers["retry-after"] !==
          undefined && requests.length > 0;
    });
    assert.equal((await gateway.call("/stock/1")).status, 503);
    full = false;
    let broken = false;
    await gateway.addServer("i-breaks", ({ socket }) => {
      if (broken) return socket.write(retryAfterBytes(RETRY_AFTER_S));
      broken = true;
      socket.write(streamBytes(eventText(1)));
      setTimeout(() => socket.destroy(), 20);
    });
    let answer = await gateway.call("/stock/1", { waitMs: 8_000 });
    while (answer.status !== 200) {
      answer = await gateway.call("/stock/1", { waitMs: 8_000 });
    }
    assert.equal(answer.body, eventText(1) + eventText(2));
    const [firstMs = 0] = resumed;
    assert.ok(
      firstMs >= fullMs + RETRY_AFTER_S * 1_000 - 50,
      "came within the rest",
    );
  });
});

describe("a server that announces that it is leaving", () => {
  it("should complete its running requests, and be used again in its next incarnation", async () => {
    const server = await addServer({ born: 1 });
    await untilReached(server);
    // All requests arrive before the first response: later ones are routed elsewhere.
    const before = server.arrivedMs.length;
    let release = () => {};
    server.held = new Promise((resolve) => release = resolve);
    const running = Array.from(
      { length: CALLERS },
      () => gateway.call("/stock/1"),
    );
    await until(() =>
      Promise.resolve(server.arrivedMs.length === before + CALLERS)
    );
    server.leaving = true;
    release();
    const statuses = (await Promise.all(running)).map(({ status }) => status);
    assert.deepEqual(statuses.filter((status) => status !== 200), []);
    assert.equal((await gateway.call("/stock/1")).status, 503);
    server.leaving = false;
    const { spec } = gateway.store.objects.list("servers")[0] ?? {};
    gateway.store.objects.put("servers", {
      name: "i-1",
      spec: { ...(spec as object), born: 2 },
    });
    await untilReached(server);
  });

  it("should get no more requests from a VM that received the announcement, whatever the list says", async () => {
    const leaving = await addServer();
    await addServer();
    await untilReached(leaving);
    leaving.leaving = true;
    const announcedMs = await untilReached(leaving);
    // It rewrites its entry and is still listed as ready.
    const { name, spec } = gateway.store.objects.list("servers")[0] ?? {};
    gateway.store.objects.put("servers", {
      name: name ?? "",
      spec: { ...(spec as object), Slots: 7 },
    });
    const statuses = await callFor(RETRY_AFTER_S * 1_000);
    const late = leaving.arrivedBetween(announcedMs + IN_FLIGHT_MS, Infinity);
    assert.equal(late, 0);
    assert.deepEqual(statuses.filter((status) => status !== 200), []);
  });
});
