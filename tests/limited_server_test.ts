/**
 * Guards against exceeding the rate limit that an overloaded server advertises for all VMs
 * together. In a fleet of 7 VMs and 8 model servers, two of which advertised a limit, one with
 * 1.3 requests a second got 15 in 4 s (13 allowed), and one with 2.5 got 22 (20 allowed). No VM
 * read the limit: the servers' share of the requests did not change, and first attempts still
 * reached them five seconds later. No VM can enforce such a limit alone: each of the seven was
 * below it.
 */

import assert from "node:assert/strict";
import { performance } from "node:perf_hooks";
import { setTimeout as pause } from "node:timers/promises";
import { afterEach, beforeEach, describe, it } from "node:test";
import { GatewayFleet } from "./fixtures/gateway_fleet.ts";
import { allowedInWindow, maxInWindow } from "./fixtures/limit_count.ts";
import { LimitedServer } from "./fixtures/limited_server.ts";
import { until } from "./fixtures/test_fleet.ts";
import { routeWire, serverWire } from "./fixtures/test_gateway.ts";

const VMS = 7;
const SERVERS = 3;
const LIMIT_PER_S = 2;
const CALLERS_PER_VM = 4;
/** Time allowed until all VMs have received a change. */
const PROPAGATION_MS = 3_000;
const OBSERVATION_MS = 8_000;
/** Pause of a caller after a rejected request. */
const PAUSE_AFTER_REJECTION_MS = 100;
/** Least share of the limit that must be used while requests are waiting. */
const MIN_USED_SHARE = 0.5;

let fleet: GatewayFleet;
let servers: LimitedServer[];

beforeEach(async () => {
  fleet = new GatewayFleet([routeWire()]);
  await fleet.start(VMS);
  servers = [];
  for (let n = 1; n <= SERVERS; n++) await addServer(`i-${n}`);
  for (const vm of fleet.vms) {
    await until(async () => (await fleet.call(vm, "/stock/1")).status === 200);
  }
});

afterEach(async () => {
  await fleet.stop();
  await Promise.all(servers.map((server) => server.close()));
});

async function addServer(name: string): Promise<void> {
  const server = new LimitedServer();
  servers.push(server);
  const spec = { ...serverWire(await server.listen()), born: 1 };
  fleet.store.objects.put("servers", { name, spec });
}

/** Calls VMs (by default all) concurrently for a duration; returns the statuses. */
async function callFor(ms: number, vms = fleet.vms): Promise<number[]> {
  const statuses: number[] = [];
  const untilMs = performance.now() + ms;
  const calls = vms.flatMap((vm) =>
    Array.from({ length: CALLERS_PER_VM }, async () => {
      while (performance.now() < untilMs) {
        const { status } = await fleet.call(vm, "/stock/1");
        statuses.push(status);
        if (status !== 200) await pause(PAUSE_AFTER_REJECTION_MS);
      }
    })
  );
  await Promise.all(calls);
  return statuses;
}

/** Asserts that a server got no more requests than its limit, and at least the required share. */
function assertLimitUsed(server: LimitedServer, fromMs: number): void {
  const arrived = server.arrivedSince(fromMs);
  const most = maxInWindow(arrived);
  assert.ok(most <= allowedInWindow(LIMIT_PER_S), `${most} in one span`);
  const used = arrived.length * 1_000 / OBSERVATION_MS;
  assert.ok(used >= MIN_USED_SHARE * LIMIT_PER_S, `${used} a second used`);
}

describe("a server that advertises a rate limit", () => {
  it("should not get more from all VMs together, while other servers serve all requests", async () => {
    const [limited] = servers as [LimitedServer];
    limited.limitPerS = LIMIT_PER_S;
    const statuses = await callFor(PROPAGATION_MS);
    const fromMs = performance.now();
    statuses.push(...await callFor(OBSERVATION_MS));
    assertLimitUsed(limited, fromMs);
    assert.deepEqual(statuses.filter((status) => status !== 200), []);
  });

  it("should not get more, and should be used, if all servers of its service advertise a limit", async () => {
    for (const server of servers) server.limitPerS = LIMIT_PER_S;
    await callFor(PROPAGATION_MS);
    const fromMs = performance.now();
    const statuses = await callFor(OBSERVATION_MS);
    for (const server of servers) assertLimitUsed(server, fromMs);
    const others = statuses.filter((status) => status !== 200);
    assert.deepEqual(others.filter((status) => status !== 503), []);
  });

  it("should get fewer requests when it lowers its limit, and its full share once it removes it", async () => {
    const [limited] = servers as [LimitedServer];
    limited.limitPerS = 3 * LIMIT_PER_S;
    await callFor(PROPAGATION_MS);
    limited.limitPerS = LIMIT_PER_S / 4;
    await callFor(PROPAGATION_MS);
    const loweredMs = performance.now();
    await callFor(OBSERVATION_MS / 2);
    const most = maxInWindow(limited.arrivedSince(loweredMs));
    assert.ok(most <= allowedInWindow(LIMIT_PER_S / 4), `${most} in one span`);
    limited.limitPerS = undefined;
    await until(async () => {
      const sinceMs = performance.now();
      await callFor(1_000);
      const counts = servers.map((server) =>
        server.arrivedSince(sinceMs).length
      );
      return (counts[0] ?? 0) > Math.max(...counts) / 2;
    });
  });

  /**
   * Each server belongs to a few VMs. A VM that owned none of a service's servers used to reject
   * all requests for it, although the servers had capacity.
   */
  it("should be used up to its limit whichever VM gets the requests", async () => {
    for (const server of servers) server.limitPerS = LIMIT_PER_S;
    await callFor(PROPAGATION_MS);
    for (const vm of fleet.vms.slice(0, 2)) {
      const fromMs = performance.now();
      await callFor(OBSERVATION_MS, [vm]);
      for (const server of servers) assertLimitUsed(server, fromMs);
    }
  });
});
