/**
 * On a busy machine a request that crashes servers was sent to a fourth one, once. Where a VM is
 * behind, word that a server has ended may come after the request was sent again; such runs
 * then did not count as one after the other, though they were made by one attempt.
 */

import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { serverRecord } from "../../tests/fixtures/server_record.ts";
import type { ServerEndCheck } from "../backends/server_end_check.ts";
import { CrashBook } from "../core/crashes/crash_book.ts";
import type { ServiceId } from "../core/ids.ts";
import { ServerDirectory } from "../core/servers/server_directory.ts";
import { CrashGossip } from "../fleet/crash_gossip.ts";
import { SilentLogger } from "../runtime/logger.ts";
import { CrashWatch } from "./crash_watch.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import { RequestCrashes } from "./request_crashes.ts";
import { RequestIdentity } from "./request_identity.ts";
import { createAttemptRecord } from "./attempt_record.ts";

const SERVICE = "tracker" as ServiceId;
/** Longer than verdicts take to settle. */
const SETTLED_MS = 1_000;

let nowMs: number;
let book: CrashBook;
let crashes: RequestCrashes;
/** Tell that the servers of the tries so far have ended. */
let tellEnded: (() => void)[];

const identity = new RequestIdentity({
  method: "GET",
  host: "shop.example",
  url: "/stock/1",
  account: undefined,
  body: undefined,
});

beforeEach(() => {
  nowMs = 10_000;
  book = new CrashBook();
  tellEnded = [];
  const clock = { monotonicMs: () => nowMs, wallMs: () => nowMs };
  const logger = new SilentLogger();
  const hasEnded = () =>
    new Promise<boolean>((resolve) => tellEnded.push(() => resolve(true)));
  const watch = new CrashWatch({
    serverEndCheck: { hasEnded } as unknown as ServerEndCheck,
    serverDirectory: new ServerDirectory(),
    crashBook: book,
    crashGossip: new CrashGossip({ crashBook: book, clock, logger }),
    gatewayMetrics: new GatewayMetrics(),
    clock,
    logger,
  });
  crashes = new RequestCrashes(watch, {
    identity,
    attempt: undefined,
    account: undefined,
    service: SERVICE,
    streaming: true,
  });
});

/** Sends the request to a server, which ends 20 ms after the first byte. */
async function crash(n: number): Promise<void> {
  await crashes.settled(() => false);
  const server = serverRecord(`i-${n}`, { address: `10.0.0.${n}:80` });
  const record = createAttemptRecord(server, {
    model: undefined,
    startedMs: nowMs,
    expectedMs: 10,
  });
  record.firstByteMs = 10;
  nowMs += 30;
  const reason = "UND_ERR_SOCKET";
  await crashes.tryEnded({ tag: "stream_broken", reason }, { server, record });
}

describe("crashes under one request", () => {
  it("should count as one after the other though word of each comes late", async () => {
    for (const n of [1, 2, 3]) await crash(n);
    for (const tell of tellEnded) tell();
    await new Promise(setImmediate);
    const standing = book.standing(identity.key, nowMs + SETTLED_MS);
    assert.equal(standing.tag, "quarantined");
  });
});
