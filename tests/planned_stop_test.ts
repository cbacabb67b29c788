/**
 * Guards against requests that are cut as the process of a stopping VM exits. A caller goes on with
 * an address that it has kept; a server falls silent for some time and goes on. Requests that the
 * VM accepted then were passed on to the server and still ran as the process exited, ahead of their
 * time limit.
 */

import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import { until } from "./fixtures/test_fleet.ts";
import {
  answerBytes,
  routeWire,
  TestGateway,
} from "./fixtures/test_gateway.ts";

const GRACE_MS = 5_000;
const TIMEOUT_MS = 1_200;
/** Callers cannot know of the shutdown before. */
const NOTICE_MS = 3_000;
const SILENT_FROM_MS = 3_400;
const SILENT_MS = 1_600;
const INTERVAL_MS = 50;
const WORK_MS = 20;

interface Call {
  readonly path: string;
  status: number | undefined;
}

describe("a VM that gets a planned stop", () => {
  // Guards against LOST: requests passed on to a server and cut as the process exits.
  it("should have answered all requests that came after its notice, as it exits", async () => {
    const gateway = new TestGateway();
    let silentUntilMs = 0;
    const passedOn = new Set<string>();
    try {
      await gateway.start([
        routeWire({ RouteType: "non_idempotent", TimeoutMs: TIMEOUT_MS }),
        routeWire({ Name: "r-2", PathPrefix: "/long/" }),
      ], { stopGraceMs: GRACE_MS });
      await gateway.addServer("i-1", ({ text, socket }) => {
        const [, path = ""] = text.split(" ");
        passedOn.add(path);
        if (path.startsWith("/long/")) return;
        const waitMs = Math.max(WORK_MS, silentUntilMs - performance.now());
        setTimeout(() => socket.write(answerBytes()), waitMs);
      });
      const isServed = async () =>
        (await gateway.call("/stock/first")).status === 200;
      await until(isServed);
      // Keeps the process from exiting early.
      const long = gateway.call("/long/1", { waitMs: 4 * GRACE_MS })
        .catch(() => undefined);
      const startMs = performance.now();
      let hasExited = false;
      const drained = gateway.drain().then(() => {
        hasExited = true;
        return calls.filter(({ path, status }) =>
          status === undefined && passedOn.has(path)
        );
      });
      const calls: Call[] = [];
      await pause(NOTICE_MS + INTERVAL_MS);
      for (let n = 0; !hasExited; n++) {
        const atMs = performance.now() - startMs;
        if (silentUntilMs === 0 && atMs >= SILENT_FROM_MS) {
          silentUntilMs = performance.now() + SILENT_MS;
        }
        const call: Call = { path: `/stock/${n}`, status: undefined };
        calls.push(call);
        void gateway.call(call.path, { waitMs: 2 * TIMEOUT_MS })
          .then(({ status }) => call.status = status, () => call.status = 0);
        await pause(INTERVAL_MS);
      }
      assert.deepEqual(await drained, []);
      assert.ok(calls.some(({ status }) => status === 200));
      assert.ok(calls.some(({ status }) => status === 503));
      await long;
    } finally {
      await gateway.stop();
    }
  });
});
