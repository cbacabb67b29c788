/**
 * Guards against cutting a request that was already accepted because of a later change of
 * keys, routes or store availability. Before each retry the VM checked the request again
 * against the current configuration. When a stream with status 200 paused and its VM moved it
 * to another server after its key had been withdrawn, the client's connection was closed three
 * to four seconds after the configuration change, long before any time limit. In these tests
 * only the key, the route or the store changes between two attempts.
 */

import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import type { RawRequest } from "./fixtures/raw_server.ts";
import {
  answerBytes,
  chunkBytes,
  notProcessedBytes,
  routeWire,
  STREAM_ROUTE,
  streamBytes,
  TestGateway,
} from "./fixtures/test_gateway.ts";
import { pause } from "../src/runtime/pause.ts";
import { until } from "./fixtures/test_fleet.ts";

const REPLACED_KEYS = { keys: ["another-key-000000000"] };
const FIRST = "id: 1\ndata: a\n\n";
const SECOND = "id: 2\ndata: b\n\n";
const END = "0\r\n\r\n";
/** More data than the buffers of all connections between server and client hold. */
const MANY_EVENTS = Array.from(
  { length: 2_000 },
  (_, n) => `id: ${n + 2}\ndata: ${"b".repeat(10_000)}\n\n`,
).join("");
/** Longer than every stall detection timeout of a stream. */
const SLOW_CLIENT_MS = 3_000;
/** Longer than any of these tests takes. */
const WAIT_MS = 60_000;

let gateway: TestGateway;
/** Requests that the test has not answered completely yet. */
let pending: RawRequest[];

beforeEach(() => {
  gateway = new TestGateway();
  pending = [];
});

afterEach(() => gateway.stop());

/** Starts each stream and leaves it open, except on the warm-up path. */
function beginStream(req: RawRequest): void {
  const { socket, text } = req;
  if (/last-event-id: 1/i.test(text)) {
    socket.write(streamBytes(SECOND) + END);
  } else if (text.includes("/warm")) {
    socket.write(streamBytes(FIRST) + END);
  } else {
    socket.write(streamBytes(FIRST));
    pending.push(req);
  }
}

/** Starts a gateway with two servers and one open stream. */
async function startStream(
  bounds: Parameters<TestGateway["start"]>[1] = {},
): Promise<{ readonly stream: Promise<{ readonly body: string }> }> {
  await gateway.start([STREAM_ROUTE], bounds);
  await gateway.addServer("i-1", beginStream);
  await gateway.addServer("i-2", beginStream);
  await untilStatus(200);
  const stream = gateway.call("/stock/1", { waitMs: WAIT_MS });
  await until(() => Promise.resolve(pending.length > 0));
  return { stream };
}

async function untilStatus(status: number): Promise<void> {
  await until(async () =>
    (await gateway.call("/stock/warm")).status === status
  );
}

/** Resets the first server's connection and expects another server to finish the stream. */
async function resetAndFinish(
  stream: Promise<{ readonly body: string }>,
): Promise<void> {
  pending[0]?.socket.resetAndDestroy();
  assert.equal((await stream).body, FIRST + SECOND);
}

describe("accepted requests", () => {
  it("should finish a stream on another server after its key was withdrawn", async () => {
    const { stream } = await startStream();
    gateway.configure([STREAM_ROUTE], REPLACED_KEYS);
    await untilStatus(401);
    await resetAndFinish(stream);
  });

  it("should finish a stream that stalls on its server after its key was withdrawn", async () => {
    const { stream } = await startStream();
    gateway.configure([STREAM_ROUTE], REPLACED_KEYS);
    await untilStatus(401);
    assert.equal((await stream).body, FIRST + SECOND);
  });

  it("should finish a stream on another server after its route was removed", async () => {
    const { stream } = await startStream();
    gateway.configure([]);
    await untilStatus(404);
    await resetAndFinish(stream);
  });

  it("should finish a stream on another server after the confirmation of its key expired", async () => {
    const { stream } = await startStream({ keyRemovalMs: 1_000 });
    gateway.store.setFaults({ down: true });
    await untilStatus(503);
    await resetAndFinish(stream);
  });

  it("should not report a request as not run when the store fails after an attempt", async () => {
    // The target latency keeps the gateway from abandoning the server before it has answered.
    const route = routeWire({ MaxAttempts: 2, TargetLatencyMs: WAIT_MS });
    await gateway.start([route], { keyRemovalMs: 1_000 });
    const fail = answerBytes({ status: "500 Internal Server Error" });
    const answer = (req: RawRequest) => {
      if (req.text.includes("/warm")) req.socket.write(answerBytes());
      else if (pending.length > 0) req.socket.write(fail);
      else pending.push(req);
    };
    await gateway.addServer("i-1", answer);
    await gateway.addServer("i-2", answer);
    await untilStatus(200);
    const call = gateway.call("/stock/1", { waitMs: WAIT_MS });
    await until(() => Promise.resolve(pending.length > 0));
    gateway.store.setFaults({ down: true });
    await untilStatus(503);
    pending[0]?.socket.write(fail);
    assert.notEqual((await call).status, 503);
  });

  it("should move only as many stalled streams as the retry budget allows", async () => {
    // Three streams stall together; less than half of the allowance may be used: one retry.
    await gateway.start([STREAM_ROUTE], {
      retryRatio: 0,
      retryAllowance: 3,
      retryWindowMs: 6_000,
    });
    await gateway.addServer("i-1", beginStream);
    await untilStatus(200);
    const streams = [1, 2, 3].map((n) =>
      gateway.call(`/stock/${n}`, { waitMs: WAIT_MS })
    );
    await until(() => Promise.resolve(pending.length === 3));
    const other = await gateway.addServer("i-2", beginStream);
    await until(() => Promise.resolve(other.requests.length > 0));
    for (const { socket } of pending) socket.write(chunkBytes(SECOND) + END);
    for (const { body } of await Promise.all(streams)) {
      assert.equal(body, FIRST + SECOND);
    }
  });

  it("should wait for capacity when the server of a stream fails while the others are full", async () => {
    let rejections = 0;
    await gateway.start([STREAM_ROUTE]);
    const answer = (req: RawRequest) => {
      const resumed = /last-event-id: 1/i.test(req.text);
      if (!resumed || rejections === 5) return beginStream(req);
      rejections += 1;
      req.socket.write(notProcessedBytes());
    };
    await gateway.addServer("i-1", answer);
    await gateway.addServer("i-2", answer);
    await untilStatus(200);
    const stream = gateway.call("/stock/1", { waitMs: WAIT_MS });
    await until(() => Promise.resolve(pending.length > 0));
    await resetAndFinish(stream);
  });

  it("should wait for capacity for a request whose attempt this VM abandoned", async () => {
    // An attempt was abandoned as stalled while the other servers were full, so the client
    // got a failure instead of the response that the attempt would have produced.
    let rejections = 0;
    await gateway.start([routeWire({ MaxAttempts: 3 })]);
    const answer = (req: RawRequest) => {
      if (req.text.includes("/warm")) req.socket.write(answerBytes());
      else if (pending.length === 0) pending.push(req);
      else if (rejections++ < 5) req.socket.write(notProcessedBytes());
      else req.socket.write(answerBytes());
    };
    await gateway.addServer("i-1", answer);
    await gateway.addServer("i-2", answer);
    await untilStatus(200);
    const res = await gateway.call("/stock/1", { waitMs: WAIT_MS });
    assert.equal(res.status, 200);
  });

  it("should not move a stream from a stalled server to the same server", async () => {
    // The only remaining candidate was the stalled server itself, and each move to it spent
    // an attempt and a retry.
    const route = routeWire({ RouteType: "streaming", StreamResumption: true });
    await gateway.start([{ ...route, MaxAttempts: 5 }]);
    const server = await gateway.addServer("i-1", (req) => {
      if (req.text.includes("/warm")) return beginStream(req);
      pending.push(req);
      if (pending.length > 1) return;
      req.socket.write(streamBytes(FIRST));
      setTimeout(() => req.socket.resetAndDestroy(), 20);
    });
    await untilStatus(200);
    const stream = gateway.call("/stock/1", { waitMs: WAIT_MS });
    await until(() => Promise.resolve(pending.length === 2));
    await pause(SLOW_CLIENT_MS);
    pending[1]?.socket.write(streamBytes(SECOND) + END);
    assert.equal((await stream).body, FIRST + SECOND);
    assert.equal(pending.length, 2);
    assert.ok(server.requests.length > 2);
  });

  it("should not treat a server as stalled while its client reads too slowly", async () => {
    // Backpressure from a slow client stops reads from the server. That pause was counted as
    // a stall of the server, and the stream moved to another one.
    await gateway.start([STREAM_ROUTE]);
    await gateway.addServer("i-1", beginStream);
    const other = await gateway.addServer("i-2", beginStream);
    await untilStatus(200);
    const warm = other.requests.length;
    const body = await gateway.open("/stock/1", { waitMs: WAIT_MS });
    await until(() => Promise.resolve(pending.length > 0));
    pending[0]?.socket.write(chunkBytes(MANY_EVENTS) + END);
    await pause(SLOW_CLIENT_MS);
    assert.equal(await body.text(), FIRST + MANY_EVENTS);
    assert.equal(pending.length, 1);
    const resumedTexts = other.requests.slice(warm).map(({ text }) => text);
    assert.ok(!resumedTexts.some((text) => /last-event-id/i.test(text)));
  });
});
