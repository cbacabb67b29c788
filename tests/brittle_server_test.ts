/**
 * Guards against brittle servers that fall over because all gateways together send them more than
 * they have room for. No users' record shows it: a burst that meets shrinking queues is played here.
 * Nothing read what the servers say, so they fell over 6 times of 2 allowed.
 */

import assert from "node:assert/strict";
import { setTimeout as pause } from "node:timers/promises";
import { afterEach, beforeEach, describe, it } from "node:test";
import { BrittleServer } from "./fixtures/brittle_server.ts";
import { GatewayFleet } from "./fixtures/gateway_fleet.ts";
import { routeWire } from "./fixtures/test_gateway.ts";
import { until } from "./fixtures/test_fleet.ts";

const VMS = 7;
const SERVERS = 3;
/** From the first word of a server that it is brittle until its room may shrink. */
const CONTACT_MS = 3_000;
const BURST_MS = 3_000;
const USUAL_PER_S = 50;
const BURST_PER_S = 240;
const WIDE_QUEUE = 8;
const NARROW_QUEUE = 1;
const SERVER = {
  bears: 5,
  slots: 4,
  queue: WIDE_QUEUE,
  workMs: 100,
  downMs: 2_000,
};
/** Falls that the users allow, in addition to a tenth of the servers. */
const ALLOWED_FALLS = 2;

let fleet: GatewayFleet;
let servers: BrittleServer[];
let nextAttempt: number;

async function callOnce(): Promise<void> {
  const attempt = (nextAttempt++).toString(16).padStart(16, "0");
  const vm = fleet.vms[nextAttempt % VMS] ?? "";
  const path = nextAttempt % 3 === 0 ? "/status/1" : "/hold/1";
  await fleet.call(vm, path, {
    "fieldrack-attempt-id": attempt,
  });
}

async function press(perS: number, forMs: number): Promise<void> {
  const calls: Promise<void>[] = [];
  const startMs = Date.now();
  for (let sent = 0; Date.now() - startMs < forMs;) {
    const due = (Date.now() - startMs) * perS / 1_000;
    for (; sent < due; sent++) calls.push(callOnce());
    await pause(5);
  }
  await Promise.all(calls);
}

beforeEach(async () => {
  nextAttempt = 1;
  fleet = new GatewayFleet([
    routeWire({ Name: "r-idempotent", PathPrefix: "/status/" }),
    routeWire({
      Name: "r-once",
      PathPrefix: "/hold/",
      RouteType: "non_idempotent",
    }),
  ]);
  servers = Array.from({ length: SERVERS }, () => new BrittleServer(SERVER));
  for (const [at, { server }] of servers.entries()) {
    await fleet.attachServer(`i-${at}`, server, { Slots: SERVER.slots });
  }
  await fleet.start(VMS);
  for (const vm of fleet.vms) {
    await until(async () => (await fleet.call(vm, "/status/1")).status === 200);
    await until(async () => await fleet.countAdvertising(vm) === VMS - 1);
  }
});

afterEach(() => fleet.stop());

describe("servers that say that they are brittle", () => {
  it("should not fall over more often than allowed in a burst, as their room shrinks", async () => {
    await press(USUAL_PER_S, CONTACT_MS);
    const burst = press(BURST_PER_S, BURST_MS);
    await pause(BURST_MS / 3);
    for (const server of servers) server.setQueue(NARROW_QUEUE);
    await burst;
    await press(USUAL_PER_S, 1_000);
    const falls = servers.reduce((sum, it) => sum + it.fallsMs.length, 0);
    const rejected = servers.reduce((sum, it) => sum + it.rejected, 0);
    assert.ok(
      falls <= ALLOWED_FALLS + SERVERS / 10,
      `${falls} falls after ${rejected} rejections`,
    );
  });
});
