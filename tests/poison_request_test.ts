/**
 * A request that crashes each server that begins to run it comes again and again, at any VM.
 * Seen in a fleet of 7 VMs before 8 servers: 26 instances ended under one request in 16 s, each
 * 36 to 121 ms after the first byte; the request was sent to servers seven times more long after
 * the third had ended, and up to nine of ten of all others' requests were refused meanwhile.
 * Nothing of a request outlived its run: each attempt of its caller began with three runs anew,
 * at every VM. Shown by the logs: no attempt had more than three runs, and all 49 instances that
 * ended had just begun one of two requests.
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
/** Servers that may end under a request. */
const ALLOWED = 3;
/** Time in which all VMs know, as the users allow it. */
const CONTACT_MS = 3_000;
/** Time after which VMs in one process have heard from each other, in milliseconds. */
const HEARD_MS = 200;
const PATH = `/stock/${POISON}/1`;

const ENGINE = {
  Slots: 16,
  KvCapacityTokens: 1_000_000,
  Models: [{ Name: "model", Cost: 1 }],
};
/** A prompt of which most is shared, so that requests with it go to one server. */
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
  await untilHeard();
  servers = new CrashingServers(fleet.store);
  await servers.start(SERVERS);
  await untilServed();
});

/** VMs that have heard no other yet have no part of the allowance of retries. */
async function untilHeard(): Promise<void> {
  for (const vm of fleet.vms) {
    await until(async () => await fleet.countAdvertising(vm) === VMS - 1);
  }
}

async function replaceServers(
  count: number,
  options: { keepIds?: boolean } = {},
): Promise<void> {
  await servers.stop();
  for (const { name } of fleet.store.kinds.list("servers")) {
    fleet.store.kinds.remove("servers", name);
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

/** Sends the request at all VMs in turn until it has ended so many servers. */
async function untilEnded(count: number): Promise<void> {
  for (let n = 0; servers.crashedServers.length < count; n++) {
    await fleet.call(fleet.vms[n % VMS] ?? "", PATH);
  }
}

describe("a request that crashes the servers that run it", () => {
  it("should be sent to no server by any VM once it has ended three", async () => {
    await untilEnded(ALLOWED);
    await pause(CONTACT_MS);
    const ended = servers.crashedServers.length;
    for (const vm of [...fleet.vms, ...fleet.vms]) await fleet.call(vm, PATH);
    assert.equal(servers.crashedServers.length, ended);
  });

  it("should be sent to no server after all VMs have ended and started again", async () => {
    await untilEnded(ALLOWED);
    await until(() =>
      Promise.resolve(fleet.store.kinds.list("fieldrack-crashes").length > 0)
    );
    const ended = servers.crashedServers.length;
    await fleet.restart();
    await untilServed();
    await pause(CONTACT_MS);
    for (const vm of fleet.vms) await fleet.call(vm, PATH);
    assert.equal(servers.crashedServers.length, ended);
  });

  it("should be counted for each life of servers that come back under their ids", async () => {
    await replaceServers(ALLOWED - 1, { keepIds: true });
    await untilEnded(ALLOWED);
    await pause(CONTACT_MS);
    const ended = servers.crashedServers.length;
    for (const vm of fleet.vms) await fleet.call(vm, PATH);
    assert.equal(servers.crashedServers.length, ended);
  });

  it("should not be taken for one that many callers make as servers fail together", async () => {
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

  it("should not meet the same requests at one server after the other", async () => {
    // Seen: a stream that shared its prompt with the culprit went on beside it twice, and was
    // cut as its route allowed no fourth run.
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

  it("should not lose an answer that another copy of it is getting", async () => {
    // A run that has gone on for longer than the culprit's would clears the request. This
    // failed once, and in plays with a trace only where both copies ran at one server: the ends
    // meant for the first copy's runs were those of the other's, which had no answer to lose then.
    // So runs are told by their callers, and copies that share a server run to their end. A copy
    // whose server is the third to end has no answer to lose: see the next test.
    const [first = "", second = ""] = fleet.vms;
    for (let n = 0;; n++) {
      const path = `/stock/${LONG}/copies/${n}`;
      const call = (vm: string, caller: string) =>
        fleet.call(vm, path, { [CALLER_HEADER]: caller });
      const crashing = call(first, "crashing");
      servers.crashServerOf(await servers.waitForRun(path, "crashing"));
      const culprit = await servers.waitForRun(path, "crashing");
      const going = call(second, "going");
      const beside = await servers.waitForRun(path, "going");
      if (beside.server === culprit.server) {
        assert.equal((await crashing).body, LONG_BODY);
        assert.equal((await going).body, LONG_BODY);
        continue;
      }
      servers.crashServerOf(culprit);
      const third = await servers.waitForRun(path, "crashing");
      servers.crashServerOf(third);
      await crashing;
      if (third.server === beside.server) {
        await going;
        continue;
      }
      assert.equal((await going).body, LONG_BODY);
      assert.equal((await fleet.call(second, path)).body, LONG_BODY);
      return;
    }
  });

  // Guards against a fourth server that ends: a copy of the request ran at the third, and its VM
  // hears from another one that three have ended before its own connection breaks off.
  it("should not send a copy again that ran at the third server that ended", async () => {
    // Few, so that both copies soon run at one.
    await replaceServers(ALLOWED + 1);
    const [first = "", second = ""] = fleet.vms;
    for (let n = 0;; n++) {
      const path = `/stock/${LONG}/third/${n}`;
      const call = (vm: string, caller: string) =>
        fleet.call(vm, path, { [CALLER_HEADER]: caller });
      const crashing = call(first, "crashing");
      const going = call(second, "going");
      const beside = await servers.waitForRun(path, "going");
      let ended = 0;
      let third = await servers.waitForRun(path, "crashing");
      while (third.server !== beside.server && ended < ALLOWED - 1) {
        servers.crashServerOf(third);
        ended += 1;
        third = await servers.waitForRun(path, "crashing");
      }
      if (third.server === beside.server && ended === ALLOWED - 1) {
        servers.crashServerOf(third, beside);
        await crashing;
        await pause(HEARD_MS);
        beside.socket.destroy();
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

  it("should leave other requests their servers", async () => {
    await untilEnded(ALLOWED);
    await pause(CONTACT_MS);
    for (const vm of fleet.vms) void fleet.call(vm, PATH);
    const others = await Promise.all(
      fleet.vms.map((vm) => fleet.call(vm, "/stock/2")),
    );
    assert.deepEqual(others.map(({ body }) => body), VMS_WHOLE);
  });
});

const VMS_WHOLE = Array.from({ length: VMS }, () => WHOLE_BODY);
