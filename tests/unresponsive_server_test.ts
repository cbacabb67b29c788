/** Guards against retries sent to servers that have answered nothing for a while, where callers lose them. */

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
/** Time after which a server that answers nothing is known as unresponsive, in milliseconds. */
const KNOWN_MS = 1_200;
const WAIT_MS = 4_000;

let gateway: TestGateway;
let arrivals: string[];

function pathOf({ text }: RawRequest): string {
  return text.split(" ")[1] ?? "";
}

/** Sends requests that no server answers; returns how many servers got each of them. */
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

describe("servers that answer nothing", () => {
  it("should get no retries once they are known", async () => {
    const silent = (req: RawRequest) => void arrivals.push(pathOf(req));
    for (let n = 0; n < SERVERS; n++) {
      await gateway.addServer(`i-${n}`, silent);
    }
    await until(async () => {
      await gateway.call("/stock/warm", { waitMs: 500 });
      return arrivals.length > 0;
    });
    // Until each of them has left an attempt unanswered.
    const first = Array.from({ length: SERVERS }, (_, n) => `/stock/a${n}`);
    const known = arrivalsOf(first);
    await pause(KNOWN_MS);
    const paths = Array.from({ length: 5 }, (_, n) => `/stock/b${n}`);
    assert.deepEqual(await arrivalsOf(paths), [1, 1, 1, 1, 1]);
    await known;
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
    await pause(KNOWN_MS);
    // A first attempt is answered there, and shows that the server goes on.
    await until(async () => (await gateway.call("/stock/2")).status === 200);
    for (let n = 3; n < 20; n++) {
      assert.equal((await gateway.call(`/stock/${n}`)).status, 200);
    }
  });
});
