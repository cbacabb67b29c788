/**
 * Guards against retries sent to servers that have not answered for a while, so that callers
 * lose their requests.
 */

import assert from "node:assert/strict";
import { setTimeout as pause } from "node:timers/promises";
import { afterEach, beforeEach, describe, it } from "node:test";
import type { RawRequest } from "./fixtures/raw_server.ts";
import {
  answerBytes,
  routeWire,
  TestGateway,
} from "./fixtures/test_gateway.ts";
import { until } from "./fixtures/test_fleet.ts";

const SERVERS = 4;
const MAX_ATTEMPTS = 3;
/** Time after which a server that does not answer counts as unresponsive. */
const DETECTION_MS = 1_200;
const WAIT_MS = 4_000;

let gateway: TestGateway;
let arrivals: string[];

function pathOf({ text }: RawRequest): string {
  return text.split(" ")[1] ?? "";
}

/** Sends requests that no server answers; returns how many times each arrived at a server. */
async function arrivalsOf(paths: readonly string[]): Promise<number[]> {
  const calls = paths.map((path) => gateway.call(path, { waitMs: WAIT_MS }));
  await Promise.all(calls);
  return paths.map((path) => arrivals.filter((one) => one === path).length);
}

beforeEach(async () => {
  arrivals = [];
  gateway = new TestGateway();
  await gateway.start([routeWire({ MaxAttempts: MAX_ATTEMPTS })]);
});

afterEach(() => gateway.stop());

describe("servers that do not answer", () => {
  it("should get no retries once they count as unresponsive", async () => {
    const ignoreRequest = (req: RawRequest) => void arrivals.push(pathOf(req));
    for (let n = 0; n < SERVERS; n++) {
      await gateway.addServer(`i-${n}`, ignoreRequest);
    }
    await until(async () => {
      await gateway.call("/stock/warm", { waitMs: 500 });
      return arrivals.length > 0;
    });
    // Leaves an attempt unanswered at each server.
    const first = Array.from({ length: SERVERS }, (_, n) => `/stock/a${n}`);
    const pending = arrivalsOf(first);
    await pause(DETECTION_MS);
    const paths = Array.from({ length: 5 }, (_, n) => `/stock/b${n}`);
    assert.deepEqual(await arrivalsOf(paths), [1, 1, 1, 1, 1]);
    await pending;
  });

  it("should get retries again once they have answered", async () => {
    const held: RawRequest[] = [];
    await gateway.addServer("i-1", (req) => {
      if (arrivals.length > 0) req.socket.write(answerBytes());
      else held.push(req);
      arrivals.push(pathOf(req));
    });
    await gateway.addServer("i-2", ({ socket }) => socket.resetAndDestroy());
    await until(async () => {
      await gateway.call("/stock/1", { waitMs: 500 });
      return held.length > 0;
    });
    await pause(DETECTION_MS);
    // An answered first attempt shows that the server has recovered.
    await until(async () => (await gateway.call("/stock/2")).status === 200);
    for (let n = 3; n < 20; n++) {
      assert.equal((await gateway.call(`/stock/${n}`)).status, 200);
    }
  });
});
