/**
 * Guards against a request that crashes each server that runs it and is sent again and again, by
 * any VM. In a fleet of 7 VMs and 8 servers, one such request crashed 26 instances in 16 s, each
 * 36 to 121 ms after the first byte. It was sent to servers seven more times long after the third
 * crash, and up to nine of ten of all other requests were rejected meanwhile. No state about a
 * request outlived its execution: each new attempt of its caller was allowed three runs again, at
 * every VM. No attempt had more than three runs, and all 49 instances that crashed had just begun
 * one of two requests.
 */

import assert from "node:assert/strict";
import { setTimeout as pause } from "node:timers/promises";
import { afterEach, beforeEach, describe, it } from "node:test";
import {
  CALLER_HEADER,
  CrashingServers,
  LONG,
  LONG_BODY,
  POISON,
  WHOLE_BODY,
} from "./fixtures/crashing_servers.ts";
import { GatewayFleet } from "./fixtures/gateway_fleet.ts";
import { STREAM_ROUTE } from "./fixtures/test_gateway.ts";
import { until } from "./fixtures/test_fleet.ts";

const VMS = 3;
const SERVERS = 8;
/** Servers that one request may crash before it is blocked. */
const MAX_CRASHED_SERVERS = 3;
/** Time allowed until all VMs have received a change. */
const PROPAGATION_MS = 3_000;
/** Time within which VMs in one process have exchanged gossip. */
const GOSSIP_MS = 200;
const PATH = `/stock/${POISON}/1`;

const ENGINE = {
  Slots: 16,
  KvCapacityTokens: 1_000_000,
  Models: [{ Name: "model", Cost: 1 }],
};
/** Headers of a prompt with a long shared prefix, so that these requests go to one server. */
const SHARED_PROMPT = {
  "fieldrack-model": "model",
  "fieldrack-token-usage": "8010,10",
  "fieldrack-prefix-hash": "5c1e07a2:8000,91bd3f06:10",
};

let fleet: GatewayFleet;
let servers: CrashingServers;

beforeEach(async () => {
  fleet = new GatewayFleet([STREAM_ROUTE], { Engine: ENGINE });
  await fleet.start(VMS);
  await untilConnected();
  servers = new CrashingServers(fleet.store);
  await servers.start(SERVERS);
  await untilServed();
});

/** Waits until all VMs know each other: a VM without peers has no share of the retry budget. */
async function untilConnected(): Promise<void> {
  for (const vm of fleet.vms) {
    await until(async () => await fleet.countAdvertising(vm) === VMS - 1);
  }
}

async function replaceServers(
  count: number,
  options: { keepIds?: boolean } = {},
): Promise<void> {
  await servers.stop();
  for (const { name } of fleet.store.objects.list("servers")) {
    fleet.store.objects.remove("servers", name);
  }
  servers = new CrashingServers(fleet.store, options);
  await servers.start(count);
  await untilServed();
}

async function untilServed(): Promise<void> {
  for (const vm of fleet.vms) {
    await until(async () => (await fleet.call(vm, "/stock/1")).status === 200);
  }
}

afterEach(async () => {
  await servers.stop();
  await fleet.stop();
});

/** Sends the request to all VMs in turn until it has crashed so many servers. */
async function untilCrashed(count: number): Promise<void> {
  for (let n = 0; servers.crashedServers.length < count; n++) {
    await fleet.call(fleet.vms[n % VMS] ?? "", PATH);
  }
}

describe("a request that crashes the servers that run it", () => {
  it("should not be sent to a server by any VM after it has crashed three", async () => {
    await untilCrashed(MAX_CRASHED_SERVERS);
    await pause(PROPAGATION_MS);
    const crashedCount = servers.crashedServers.length;
    for (const vm of [...fleet.vms, ...fleet.vms]) await fleet.call(vm, PATH);
    assert.equal(servers.crashedServers.length, crashedCount);
  });

  it("should not be sent to a server after all VMs have restarted", async () => {
    await untilCrashed(MAX_CRASHED_SERVERS);
    await until(() =>
      Promise.resolve(fleet.store.objects.list("fieldrack-crashes").length > 0)
    );
    const crashedCount = servers.crashedServers.length;
    await fleet.restart();
    await untilServed();
    await pause(PROPAGATION_MS);
    for (const vm of fleet.vms) await fleet.call(vm, PATH);
    assert.equal(servers.crashedServers.length, crashedCount);
  });

  it("should be counted for each incarnation of servers that restart with the same id", async () => {
    await replaceServers(MAX_CRASHED_SERVERS - 1, { keepIds: true });
    await untilCrashed(MAX_CRASHED_SERVERS);
    await pause(PROPAGATION_MS);
    const crashedCount = servers.crashedServers.length;
    for (const vm of fleet.vms) await fleet.call(vm, PATH);
    assert.equal(servers.crashedServers.length, crashedCount);
  });

  it("should not be confused with a request that many callers send while servers fail together", async () => {
    const hot = fleet.vms.flatMap((vm) =>
      Array.from({ length: 6 }, () => fleet.call(vm, "/stock/hot"))
    );
    await until(() => Promise.resolve(servers.runsOf("hot").length >= 12));
    servers.crash(SERVERS / 2);
    const first = await Promise.all(hot);
    assert.deepEqual(first.filter(({ body }) => body !== WHOLE_BODY), []);
    for (const vm of fleet.vms) {
      assert.equal((await fleet.call(vm, "/stock/hot")).body, WHOLE_BODY);
    }
  });

  it("should not share one server after another with the same requests", async () => {
    // A stream with the same prompt prefix as the crashing request was resumed on its server twice,
    // and was then cut because its route allowed no fourth run.
    const vm = fleet.vms[0] ?? "";
    const paths = [1, 2, 3, 4].map((n) => `/stock/${LONG}/${n}`);
    const others = paths.map((path) => fleet.call(vm, path, SHARED_PROMPT));
    await until(() =>
      Promise.resolve(servers.runsOf(LONG).length >= paths.length)
    );
    await fleet.call(vm, PATH, SHARED_PROMPT);
    const bodies = (await Promise.all(others)).map(({ body }) => body);
    assert.deepEqual(bodies.filter((body) => body !== LONG_BODY), []);
    const runs = paths.map((path) => servers.runsOf(path).length);
    assert.ok(Math.max(...runs) <= 2, `runs of each: ${runs}`);
  });

  it("should not lose the response that another copy of it is receiving", async () => {
    // A run that lasts longer than a crashing run would clears the request of suspicion. This test
    // failed once, and in traced runs only if both copies ran on one server: the crashes meant for
    // the first copy's runs hit the other copy, which then had no response to lose. So runs are
    // identified by caller, and copies that share a server are left to complete. A copy whose
    // server is the third to crash has no response to lose: see the next test.
    const [first = "", second = ""] = fleet.vms;
    for (let n = 0;; n++) {
      const path = `/stock/${LONG}/copies/${n}`;
      const call = (vm: string, caller: string) =>
        fleet.call(vm, path, { [CALLER_HEADER]: caller });
      const crashing = call(first, "crashing");
      servers.crashServerOf(await servers.waitForRun(path, "crashing"));
      const culprit = await servers.waitForRun(path, "crashing");
      const going = call(second, "going");
      const otherRun = await servers.waitForRun(path, "going");
      if (otherRun.server === culprit.server) {
        assert.equal((await crashing).body, LONG_BODY);
        assert.equal((await going).body, LONG_BODY);
        continue;
      }
      servers.crashServerOf(culprit);
      const third = await servers.waitForRun(path, "crashing");
      servers.crashServerOf(third);
      await crashing;
      if (third.server === otherRun.server) {
        await going;
        continue;
      }
      assert.equal((await going).body, LONG_BODY);
      assert.equal((await fleet.call(second, path)).body, LONG_BODY);
      return;
    }
  });

  // Guards against a fourth crash: a copy of the request runs on the third server, and its VM
  // is notified by another VM of the three crashes before its own connection breaks.
  it("should not be sent again for a copy that ran on the third server that crashed", async () => {
    // Few servers, so that both copies soon run on the same one.
    await replaceServers(MAX_CRASHED_SERVERS + 1);
    const [first = "", second = ""] = fleet.vms;
    for (let n = 0;; n++) {
      const path = `/stock/${LONG}/third/${n}`;
      const call = (vm: string, caller: string) =>
        fleet.call(vm, path, { [CALLER_HEADER]: caller });
      const crashing = call(first, "crashing");
      const going = call(second, "going");
      const otherRun = await servers.waitForRun(path, "going");
      let crashedCount = 0;
      let third = await servers.waitForRun(path, "crashing");
      while (
        third.server !== otherRun.server &&
        crashedCount < MAX_CRASHED_SERVERS - 1
      ) {
        servers.crashServerOf(third);
        crashedCount += 1;
        third = await servers.waitForRun(path, "crashing");
      }
      if (
        third.server === otherRun.server &&
        crashedCount === MAX_CRASHED_SERVERS - 1
      ) {
        servers.crashServerOf(third, otherRun);
        await crashing;
        await pause(GOSSIP_MS);
        otherRun.socket.destroy();
        await going;
        const after = servers.runsOf(path).filter(({ atMs }) =>
          atMs > third.atMs
        );
        assert.deepEqual(after, []);
        return;
      }
      await Promise.all([crashing, going]);
    }
  });

  it("should not affect other requests", async () => {
    await untilCrashed(MAX_CRASHED_SERVERS);
    await pause(PROPAGATION_MS);
    for (const vm of fleet.vms) void fleet.call(vm, PATH);
    const others = await Promise.all(
      fleet.vms.map((vm) => fleet.call(vm, "/stock/2")),
    );
    assert.deepEqual(others.map(({ body }) => body), WHOLE_BODIES);
  });
});

const WHOLE_BODIES = Array.from({ length: VMS }, () => WHOLE_BODY);
