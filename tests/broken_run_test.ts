/**
 * Guards against 502 responses to requests that still have time to wait for capacity. An attempt
 * failed at a server with a concurrency limit, and no permit was free for the next attempt because
 * the failed one had just taken it. The same happened where the servers had requested a backoff.
 */

import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { retryAfterBytes } from "./fixtures/resting_server.ts";
import {
  answerBytes,
  routeWire,
  TestGateway,
} from "./fixtures/test_gateway.ts";
import { until } from "./fixtures/test_fleet.ts";

/** Concurrent requests whose attempts fail together, and the number of rounds. */
const CONCURRENT_REQUESTS = 40;
const ROUNDS = 10;
const BACKOFF_S = 0.3;
/** Enough retries for all requests of all rounds, as less than half of them is used. */
const RETRY_ALLOWANCE = 3 * CONCURRENT_REQUESTS * ROUNDS;

describe("a request whose attempt failed at servers without capacity", () => {
  let gateway: TestGateway;

  beforeEach(async () => {
    gateway = new TestGateway();
    await gateway.start([routeWire()], { retryAllowance: RETRY_ALLOWANCE });
  });

  afterEach(() => gateway.stop());

  it("should wait for capacity within its time limit", async () => {
    let closeNext = false;
    await gateway.addServer("i-1", ({ socket }) => {
      if (!closeNext) {
        return socket.write(answerBytes({ headers: "Server-Limit: 1\r\n" }));
      }
      closeNext = false;
      socket.destroy();
    });
    const call = () => gateway.call("/stock/1", { waitMs: 4_000 });
    await until(async () => (await call()).status === 503);
    await until(async () => (await call()).status === 200);
    closeNext = true;
    // Refused while no permit is free; the first request with a permit loses its connection.
    let answer = await call();
    while (answer.status === 503) answer = await call();
    assert.equal(answer.status, 200);
  });

  it("should wait for the end of a backoff within its time limit", async () => {
    let mode: "sound" | "breaks" | "rests" = "sound";
    let closeConnection = () => {};
    const server = await gateway.addServer("i-1", ({ socket }) => {
      if (mode === "rests") return socket.write(retryAfterBytes(0.5));
      if (mode === "sound") return socket.write(answerBytes());
      mode = "rests";
      closeConnection = () => socket.destroy();
    });
    await until(async () => (await gateway.call("/stock/1")).status === 200);
    const requestsBefore = server.requests.length;
    mode = "breaks";
    const running = gateway.call("/stock/1", { waitMs: 4_000 });
    await until(() => Promise.resolve(server.requests.length > requestsBefore));
    assert.equal((await gateway.call("/stock/1")).status, 503);
    mode = "sound";
    closeConnection();
    assert.equal((await running).status, 200);
  });

  it("should not fail when a backoff ends between two checks", async () => {
    // The request above got a 502 as the backoff ended, with three seconds left. Its VM looked
    // for an available server just before that end and read the remaining backoff just after it,
    // so it found neither a server to use nor one to wait for.
    let mode: "sound" | "breaks" | "rests" = "sound";
    let closeConnections: (() => void)[] = [];
    const server = await gateway.addServer("i-1", ({ socket }) => {
      if (mode === "rests") return socket.write(retryAfterBytes(BACKOFF_S));
      if (mode === "sound") return socket.write(answerBytes());
      closeConnections.push(() => socket.destroy());
    });
    await until(async () => (await gateway.call("/stock/1")).status === 200);
    for (let round = 0; round < ROUNDS; round++) {
      const requestsBefore = server.requests.length;
      mode = "breaks";
      const running = Array.from(
        { length: CONCURRENT_REQUESTS },
        (_, n) => gateway.call(`/stock/${n}`, { waitMs: 4_000 }),
      );
      await until(() =>
        Promise.resolve(
          server.requests.length >= requestsBefore + CONCURRENT_REQUESTS,
        )
      );
      mode = "rests";
      assert.equal((await gateway.call("/stock/rest")).status, 503);
      mode = "sound";
      for (const end of closeConnections) end();
      closeConnections = [];
      const statuses = (await Promise.all(running)).map(({ status }) => status);
      assert.deepEqual(statuses.filter((status) => status !== 200), []);
    }
  });
});
