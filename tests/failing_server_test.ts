/**
 * Guards against sound prompt parts that are kept back because one server crashes under whatever it
 * runs: a request goes to a server that has not crashed under its parts, and completes there.
 */

import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import { GatewayFleet } from "./fixtures/gateway_fleet.ts";
import {
  PartCrashingServers,
  WHOLE_BODY,
} from "./fixtures/part_crashing_servers.ts";
import { STREAM_ROUTE } from "./fixtures/test_gateway.ts";
import { until } from "./fixtures/test_fleet.ts";

const GATEWAYS = 2;
const SERVERS = 5;
const PARTS = 8;
const INTERVAL_MS = 60;
const REQUESTS = 200;
/** Smallest share of requests that must be served for each part. */
const MIN_SERVED_SHARE = 0.5;

interface Answer {
  readonly part: number;
  readonly isWhole: boolean;
  readonly body: string;
}

describe("a server that crashes under each request", () => {
  it("should not keep sound prompt parts from other servers", async () => {
    const route = {
      ...STREAM_ROUTE,
      MaxAttempts: 1,
      StreamResumption: false,
    };
    const fleet = new GatewayFleet([route], {
      Engine: { Slots: 64, KvCapacityTokens: 1_000_000, Models: [] },
    });
    const servers = new PartCrashingServers(fleet.store, "chunked_stream", {
      keepsId: true,
      restartDelayMs: 400,
      hasFailingServer: true,
    });
    try {
      await fleet.start(GATEWAYS);
      await servers.start(SERVERS);
      for (const vm of fleet.vms) {
        await until(async () =>
          (await fleet.call(vm, "/stock/first")).status === 200
        );
      }
      const calls: Promise<Answer>[] = [];
      for (let n = 0; n < REQUESTS; n++) {
        const part = n % PARTS;
        const vm = fleet.vms[n % 3 % GATEWAYS] ?? "";
        calls.push(
          fleet.call(vm, `/stock/${n}`, {
            "fieldrack-attempt-id": `attempt-${n}`,
            "fieldrack-model": "model",
            "fieldrack-token-usage": "200,10",
            "fieldrack-prefix-hash": `part${part}:100,own${n}:100`,
          }).then(({ status, body }) => ({
            part,
            isWhole: status === 200 && body === WHOLE_BODY,
            body,
          })),
        );
        await pause(INTERVAL_MS);
      }
      const answers = await Promise.all(calls);
      assert.ok(servers.crashes.length > 0);
      const quarantined = answers.filter(({ body }) =>
        body.includes("crashes_servers")
      );
      assert.deepEqual(quarantined, []);
      for (let part = 0; part < PARTS; part++) {
        const own = answers.filter((answer) => answer.part === part);
        const served = own.filter(({ isWhole }) => isWhole).length;
        assert.ok(
          served >= MIN_SERVED_SHARE * own.length,
          `part ${part}: ${served} of ${own.length}`,
        );
      }
    } finally {
      await servers.stop();
      await fleet.stop();
    }
  });
});
