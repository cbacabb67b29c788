/**
 * Guards against callers being refused at gateways that have lost their links to all backend
 * servers, while the other gateways serve. Users saw 30 of 136 first attempts served at four
 * gateways of seven, and 197 of 197 at the others: each request at a gateway without servers tried
 * three or four of them and was then refused, although other gateways could have sent it. Proof:
 * docs/incidents/inspection-partitioned-vms.md.
 */

import assert from "node:assert/strict";
import { setTimeout as pause } from "node:timers/promises";
import { afterEach, beforeEach, describe, it } from "node:test";
import type { CutManner } from "./fixtures/cuttable_connector.ts";
import { GatewayFleet } from "./fixtures/gateway_fleet.ts";
import type { RawRequest } from "./fixtures/raw_server.ts";
import {
  answerBytes,
  routeWire,
  streamAnswerBytes,
} from "./fixtures/test_gateway.ts";
import { until } from "./fixtures/test_fleet.ts";

const VMS = 7;
const SERVERS = 5;
/** From the start of a cut until its effects count. */
const CONTACT_MS = 3_000;
const ROUTES = [
  routeWire({ Name: "r-idempotent", PathPrefix: "/status/" }),
  routeWire({
    Name: "r-once",
    PathPrefix: "/hold/",
    RouteType: "non_idempotent",
  }),
  routeWire({
    Name: "r-stream",
    PathPrefix: "/report/",
    RouteType: "streaming",
  }),
];
const PATHS = ["/status/", "/hold/", "/report/"];
const REQUESTS_PER_VM = 30;

interface Count {
  served: number;
  failed: number;
}

/** Shortest time without a byte after which a gateway gives up an attempt and makes another. */
const FIRST_BYTE_TIMEOUT_MS = 300;

/** A request that a server has read. */
interface Arrival {
  readonly path: string;
  /** Time until the deadline of the request, as its gateway passed it on. */
  readonly leftMs: number;
}

let fleet: GatewayFleet;
/** What servers have read, by attempt id. */
let arrivals: Map<string, Arrival[]>;
let nextAttempt: number;

function answer({ text, socket }: RawRequest): void {
  const attempt = /fieldrack-attempt-id: (\S+)/i.exec(text)?.[1] ?? "";
  const path = text.split(" ")[1] ?? "";
  const leftMs = Number(/fieldrack-deadline-ms: (\d+)/i.exec(text)?.[1]);
  arrivals.set(attempt, [...arrivals.get(attempt) ?? [], { path, leftMs }]);
  const isStream = path.startsWith("/report/");
  socket.write(
    isStream
      ? streamAnswerBytes({ attempt, confidence: 90 })
      : answerBytes({ attempt }),
  );
}

async function callOnce(vm: string, path: string): Promise<boolean> {
  const attempt = (nextAttempt++).toString(16).padStart(16, "0");
  const { status, body } = await fleet.call(vm, `${path}1`, {
    "fieldrack-attempt-id": attempt,
  });
  return status === 200 && body !== "";
}

/** Sends requests to these gateways, one after the other at each, all gateways together. */
async function callAll(
  vms: readonly string[],
  perVm = REQUESTS_PER_VM,
): Promise<Count> {
  const count = { served: 0, failed: 0 };
  await Promise.all(vms.map(async (vm) => {
    for (let n = 0; n < perVm; n++) {
      const path = PATHS[n % PATHS.length] ?? "";
      if (await callOnce(vm, path)) count.served += 1;
      else count.failed += 1;
    }
  }));
  return count;
}

/** Requests at all gateways until the effects of a cut count. */
async function callUntilCounted(): Promise<void> {
  const endMs = Date.now() + CONTACT_MS;
  while (Date.now() < endMs) {
    await callAll(fleet.vms, PATHS.length);
    await pause(50);
  }
}

/** The users' rule: no breach unless both the share and the number of failures are exceeded. */
function assertServedLikeOthers(there: Count, others: Count): void {
  const requests = there.served + there.failed + others.served + others.failed;
  const shareOf = ({ served, failed }: Count) => served / (served + failed);
  const isWorse = shareOf(there) < 2 / 3 * shareOf(others);
  const isFrequent = there.failed > 10 + requests / 50;
  assert.ok(
    !(isWorse && isFrequent),
    `${there.served} served and ${there.failed} not; ` +
      `at the others ${others.served} and ${others.failed}`,
  );
}

/**
 * Returns requests that servers have read more often than they may. Where the whole process pauses,
 * servers answer late, and an idempotent request is retried as at any server that sends nothing.
 */
function repeatedTooSoon(): Arrival[][] {
  return [...arrivals.values()].filter((reads) =>
    reads.some(({ path, leftMs }, at) => {
      const earlier = reads[at - 1];
      if (earlier === undefined) return false;
      const isRetry = path.startsWith("/status/") &&
        earlier.leftMs - leftMs >= FIRST_BYTE_TIMEOUT_MS;
      return !isRetry;
    })
  );
}

beforeEach(async () => {
  arrivals = new Map();
  nextAttempt = 1;
  fleet = new GatewayFleet(ROUTES, {}, { cuttable: true });
  for (let at = 0; at < SERVERS; at++) await fleet.addServer(`i-${at}`, answer);
  await fleet.start(VMS);
  await until(async () => (await callAll(fleet.vms, 3)).failed === 0);
});

afterEach(() => fleet.stop());

const CASES: [CutManner, number][] = [
  ["hang", 2],
  ["hang", 4],
  ["hang", 6],
  ["reset", 2],
  ["reset", 4],
  ["reset", 6],
  ["refuse_new", 4],
];

for (const [manner, count] of CASES) {
  describe(`${count} of ${VMS} gateways without links to servers (${manner})`, () => {
    it("should serve callers like the other gateways", async () => {
      const cut = fleet.vms.slice(VMS - count);
      const others = fleet.vms.slice(0, VMS - count);
      await Promise.all(cut.map((vm) => fleet.cutServers(vm, manner)));
      await callUntilCounted();
      const [there, elsewhere] = await Promise.all([
        callAll(cut),
        callAll(others),
      ]);
      assertServedLikeOthers(there, elsewhere);
      assert.deepEqual(repeatedTooSoon(), []);
    });
  });
}

describe("a gateway without links to servers", () => {
  it("should not be advertised until the links are restored", async () => {
    const cut = fleet.vms.slice(VMS - 2);
    await Promise.all(cut.map((vm) => fleet.cutServers(vm, "reset")));
    await callAll(cut, PATHS.length);
    for (const vm of cut) {
      await until(async () => await fleet.countAdvertising(vm) === 0);
    }
    await Promise.all(cut.map((vm) => fleet.healServers(vm)));
    for (const vm of cut) {
      await until(async () => await fleet.countAdvertising(vm) === VMS - 1);
    }
    assert.equal((await callAll(cut)).failed, 0);
  });

  it("should stay advertised where all gateways have lost the servers", async () => {
    await Promise.all(fleet.vms.map((vm) => fleet.cutServers(vm, "hang")));
    await callAll(fleet.vms, PATHS.length);
    for (const vm of fleet.vms) {
      assert.equal(await fleet.countAdvertising(vm), VMS - 1);
    }
    const { served } = await callAll(fleet.vms, PATHS.length);
    assert.equal(served, 0);
    await Promise.all(fleet.vms.map((vm) => fleet.healServers(vm)));
    await until(async () => (await callAll(fleet.vms, 3)).failed === 0);
  });
});
