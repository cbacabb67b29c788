/**
 * On a slow VM, the check that a server crashed may complete only after the request was retried.
 * The runs of one attempt by the caller then did not count as consecutive, and a request that
 * crashes servers reached a fourth server.
 */

import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { serverRecord } from "../../tests/fixtures/server_record.ts";
import type { ServerExitCheck } from "../backends/server_exit_check.ts";
import { QUARANTINE_MS } from "../core/crashes/quarantine.ts";
import { CrashHistory } from "../core/crashes/crash_history.ts";
import type { RequestKey, ServiceId } from "../core/ids.ts";
import type { MemberTable } from "../core/membership/member_table.ts";
import {
  incarnationIdOf,
  type ServerRecord,
} from "../core/servers/server_record.ts";
import { ServerDirectory } from "../core/servers/server_directory.ts";
import { CrashGossip } from "../fleet/crash_gossip.ts";
import { SilentLogger } from "../runtime/logger.ts";
import { CrashDetector } from "./crash_detector.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import { RequestCrashTracker } from "./request_crash_tracker.ts";
import { RequestIdentity } from "./request_identity.ts";
import { createAttemptRecord } from "./attempt_record.ts";

const SERVICE = "tracker" as ServiceId;
/** Longer than a quarantine decision stays pending. */
const AFTER_SETTLING_MS = 1_000;

let nowMs: number;
let book: CrashHistory;
let gossip: CrashGossip;
let tracker: RequestCrashTracker;
/** Completes the pending checks of the attempts so far: their servers have crashed. */
let confirmCrashes: (() => void)[];
/** VMs of the fleet, as the one under test knows them. */
let members: {
  self: { id: string };
  everyone: () => { id: string; state: string }[];
};

const identity = new RequestIdentity({
  method: "GET",
  host: "shop.example",
  url: "/stock/1",
  account: undefined,
  body: undefined,
}, { service: SERVICE, parts: [] });

beforeEach(() => {
  nowMs = 10_000;
  book = new CrashHistory();
  confirmCrashes = [];
  members = {
    self: { id: "vm-2" },
    everyone: () => ["vm-2", "vm-1"].map((id) => ({ id, state: "alive" })),
  };
  const clock = { monotonicMs: () => nowMs, wallMs: () => nowMs };
  const logger = new SilentLogger();
  const hasExited = () =>
    new Promise<boolean>((resolve) => confirmCrashes.push(() => resolve(true)));
  gossip = new CrashGossip({ crashHistory: book, clock, logger });
  const detector = new CrashDetector({
    serverExitCheck: { hasExited } as unknown as ServerExitCheck,
    serverDirectory: new ServerDirectory(),
    crashHistory: book,
    crashGossip: gossip,
    crashRegistry: { isLoaded: true },
    memberTable: members as unknown as MemberTable,
    gatewayMetrics: new GatewayMetrics(),
    clock,
    logger,
  });
  tracker = new RequestCrashTracker(detector, {
    identity,
    attemptId: undefined,
    account: undefined,
    service: SERVICE,
    streaming: true,
  });
});

/** Sends the request to a server that crashes 20 ms after the first byte. */
async function crash(n: number): Promise<void> {
  await tracker.waitUntilSettled(() => false);
  const server = serverRecord(`i-${n}`, { address: `10.0.0.${n}:80` });
  const record = createAttemptRecord(server, {
    model: undefined,
    startedMs: nowMs,
    expectedMs: 10,
  });
  record.firstByteMs = 10;
  nowMs += 30;
  const reason = "UND_ERR_SOCKET";
  await tracker.recordAttemptEnd({ tag: "stream_broken", reason }, {
    server,
    record,
  });
}

describe("crashes during one request", () => {
  it("should count as consecutive even if each crash is confirmed late", async () => {
    for (const n of [1, 2, 3]) await crash(n);
    for (const confirm of confirmCrashes) confirm();
    await new Promise(setImmediate);
    const status = book.quarantineStatus(
      identity.suspects,
      nowMs + AFTER_SETTLING_MS,
    );
    assert.equal(status.tag, "quarantined");
  });
});

describe("request after its quarantine", () => {
  /** Time between the trials of two VMs. */
  const INTERVAL_MS = 3_000;

  beforeEach(async () => {
    for (const n of [1, 2, 3]) await crash(n);
    for (const confirm of confirmCrashes) confirm();
    await new Promise(setImmediate);
    nowMs += QUARANTINE_MS;
  });

  async function status(): Promise<string> {
    return (await tracker.waitUntilSettled(() => false)).tag;
  }

  it("should be tried by the first VM immediately, by another one later", async () => {
    assert.equal(await status(), "quarantined");
    nowMs += INTERVAL_MS;
    assert.equal(await status(), "free");
    assert.equal(tracker.isQuarantined, false);
  });

  it("should be tried once, whatever became of the trial", async () => {
    members.self.id = "vm-1";
    assert.equal(await status(), "free");
    await crash(4);
    assert.equal(await status(), "quarantined");
    nowMs += INTERVAL_MS;
    assert.equal(await status(), "quarantined");
  });
});

describe("run that this VM has closed", () => {
  /** Another request loses its connection to the server as it crashes. */
  function crashUnderAnother(server: ServerRecord): void {
    gossip.recordLocal({
      request: "other" as RequestKey,
      parts: [],
      account: undefined,
      life: incarnationIdOf(server),
      address: server.address,
      after: [],
      beganMs: nowMs - 10,
      endedMs: nowMs,
      serviceSize: 8,
    });
  }

  /** Closes a run on the server, which crashes some time later; returns the reported crashes. */
  async function crashesAfter(
    waitMs: number,
    { firstByteMs }: { firstByteMs: number | undefined },
  ): Promise<number> {
    const server = serverRecord("i-9", { address: "10.0.0.9:80" });
    const record = createAttemptRecord(server, {
      model: undefined,
      startedMs: nowMs - 10,
      expectedMs: 10,
    });
    record.firstByteMs = firstByteMs;
    await tracker.recordAttemptEnd({ tag: "turned_down" }, { server, record });
    nowMs += waitMs;
    crashUnderAnother(server);
    return book.crashesOf(identity.key).length;
  }

  it("should be reported if its server crashes shortly after", async () => {
    assert.equal(await crashesAfter(100, { firstByteMs: 10 }), 1);
  });

  it("should not be reported if its server crashes long after", async () => {
    assert.equal(await crashesAfter(2_000, { firstByteMs: 10 }), 0);
  });

  it("should not be reported if it had not begun", async () => {
    assert.equal(await crashesAfter(100, { firstByteMs: undefined }), 0);
  });
});
