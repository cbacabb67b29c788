/**
 * A server that is full turns requests away and asks a VM for rest; one that leaves says so in
 * its answers. Seen in a fleet of 7 VMs before 8 model servers, two of which turned everybody away
 * for 9 s: each VM went on to send them requests, three and four within the 3 s of rest that they
 * had asked it for, while six other servers were sound. A VM heard no word of it: it avoided a
 * server by its own guess only, for 1.5 s after the third refusal in a row, and so came back in the
 * middle of the rest. Shown by the logs: each try reached its server within 4 ms of its choice, and
 * no other server was avoided, so that neither waiting requests nor a lack of servers explain it.
 */

import assert from "node:assert/strict";
import { performance } from "node:perf_hooks";
import { afterEach, beforeEach, describe, it } from "node:test";
import { RestingServer } from "./fixtures/resting_server.ts";
import { routeWire, serverWire, TestGateway } from "./fixtures/test_gateway.ts";
import { until } from "./fixtures/test_fleet.ts";

/** Time for what is on its way to a server as it asks for rest, as the users allow it. */
const ON_ITS_WAY_MS = 500;
const REST_S = 3;
/** Callers at once: enough to keep the servers busy that take work. */
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
  gateway.store.kinds.put("servers", {
    name: `i-${servers.length}`,
    spec: serverWire(await server.listen(), patch),
  });
  return server;
}

/** Calls until the server has got a request from now on; returns when it had. */
async function untilReached(server: RestingServer): Promise<number> {
  const before = server.arrivedMs.length;
  await until(async () => {
    await gateway.call("/stock/1");
    return server.arrivedMs.length > before;
  });
  return server.arrivedMs[before] ?? 0;
}

/** Many callers call again and again for so long; returns the statuses. */
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

describe("a server that asks for rest", () => {
  it("should get nothing from a VM for as long as it has asked", async () => {
    const resting = await addServer();
    await addServer();
    await addServer();
    await untilReached(resting);
    resting.retryAfter = String(REST_S);
    const askedMs = await untilReached(resting);
    const statuses = await callFor(REST_S * 1_000);
    const endMs = askedMs + REST_S * 1_000;
    assert.equal(resting.arrivedBetween(askedMs + ON_ITS_WAY_MS, endMs), 0);
    assert.deepEqual(statuses.filter((status) => status !== 200), []);
  });
});

describe("a server that says that it leaves", () => {
  it("should get nothing more from a VM that has heard it, whatever the list says", async () => {
    const leaving = await addServer();
    await addServer();
    await untilReached(leaving);
    leaving.leaving = true;
    const saidMs = await untilReached(leaving);
    // It writes its entry anew, and is still listed as ready.
    const { name, spec } = gateway.store.kinds.list("servers")[0] ?? {};
    gateway.store.kinds.put("servers", {
      name: name ?? "",
      spec: { ...(spec as object), Slots: 7 },
    });
    const statuses = await callFor(REST_S * 1_000);
    const late = leaving.arrivedBetween(saidMs + ON_ITS_WAY_MS, Infinity);
    assert.equal(late, 0);
    assert.deepEqual(statuses.filter((status) => status !== 200), []);
  });
});
