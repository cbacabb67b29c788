/**
 * Guards against overloading servers after a cold start. They handle only a low rate for some
 * seconds and fail above it: a cold server received 26 requests in one second with 24.5 allowed.
 */

import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import type { RawRequest } from "./fixtures/raw_server.ts";
import {
  answerBytes,
  routeWire,
  TestGateway,
} from "./fixtures/test_gateway.ts";
import { until } from "./fixtures/test_fleet.ts";

const SERVICE = { WarmupS: 3, WarmupPerS: 13 };
/** Longer than any of these tests takes. */
const COLD_START = { WarmupLeftMs: 60_000 };
const SOUTH_ZONE = { Zone: "south" };

let gateway: TestGateway;

beforeEach(() => {
  gateway = new TestGateway();
});

afterEach(() => gateway.stop());

const answerWhole = ({ socket }: RawRequest) => socket.write(answerBytes());

async function start(): Promise<void> {
  const bounds = { evacuationMs: 5_000 };
  await gateway.start([routeWire()], bounds, { service: SERVICE });
}

async function untilServed(): Promise<void> {
  await until(async () => (await gateway.call("/stock/1")).status === 200);
}

describe("a cold server", () => {
  it("should receive no requests while others are warm, and be used once it is warm", async () => {
    await start();
    const cold = await gateway.addServer("i-1", answerWhole, {
      WarmupLeftMs: 1_500,
    });
    await gateway.addServer("i-2", answerWhole, SOUTH_ZONE);
    await untilServed();
    const requestsBefore = cold.requests.length;
    assert.equal(requestsBefore, 0);
    await until(async () => {
      assert.equal((await gateway.call("/stock/1")).status, 200);
      return cold.requests.length > requestsBefore;
    });
  });

  it("should limit the request rate of the fleet where it is the only server", async () => {
    await start();
    await gateway.addServer("i-1", answerWhole, COLD_START);
    // From then on this VM counts itself as settled and uses its share of the rate.
    await untilServed();
    await until(async () => {
      const { status, headers } = await gateway.call("/stock/1");
      // Retry-After covers the remaining warm-up time.
      return status === 503 && Number(headers["retry-after"]) > 10;
    });
  });

  it("should be assumed after an evacuation, before the server reports it", async () => {
    await start();
    const near = await gateway.addServer("i-1", answerWhole);
    const far = await gateway.addServer("i-2", answerWhole, SOUTH_ZONE);
    await until(async () => {
      await gateway.call("/stock/1");
      return near.requests.length > 0;
    });
    gateway.store.objects.put("evacuations", { name: "north", spec: {} });
    await until(async () => {
      await gateway.call("/stock/1");
      return far.requests.length > 0;
    });
    const requestsBefore = near.requests.length;
    const returnedMs = Date.now();
    gateway.store.objects.remove("evacuations", "north");
    await until(async () => {
      assert.equal((await gateway.call("/stock/1")).status, 200);
      return near.requests.length > requestsBefore;
    });
    assert.ok(Date.now() - returnedMs >= 1_000 * SERVICE.WarmupS);
  });
});
