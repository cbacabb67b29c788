/**
 * Found by reading: a run was left only when its server fell silent, although the list had said
 * meanwhile that the server had started again under its id, and so runs nothing of before.
 */

import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import type { ServerProbe } from "../backends/server_probe.ts";
import type { RouteId } from "../core/ids.ts";
import type { Route } from "../core/routes/route.ts";
import { ServerDirectory } from "../core/servers/server_directory.ts";
import { ServerStallDetector } from "../core/servers/server_stall_detector.ts";
import { serverRecord } from "../../tests/fixtures/server_record.ts";
import type { ServerGate } from "./server_gate.ts";
import type { ServerNotices } from "./server_notices.ts";
import { newTryRecord } from "./try_record.ts";
import { TrySilence } from "./try_silence.ts";

const SERVER = serverRecord("i-1", { bornMs: 5 });
const SENT_MS = 1_000;
const RECORD = newTryRecord(SERVER, {
  model: undefined,
  startedMs: SENT_MS,
  expectedMs: 10_000,
});
const ROUTE = { id: "r-1" as RouteId, targetMs: undefined } as Route;
const WAITING = {
  server: SERVER,
  record: RECORD,
  route: ROUTE,
  hasEngine: true,
};

let serverDirectory: ServerDirectory;
let askableMs: number | undefined;
let asked: number;
let silence: TrySilence;

beforeEach(() => {
  serverDirectory = new ServerDirectory();
  serverDirectory.put(SERVER);
  askableMs = undefined;
  asked = 0;
  silence = new TrySilence({
    serverDirectory,
    serverStallDetector: new ServerStallDetector(),
    serverProbe: { ask: () => void (asked += 1) } as unknown as ServerProbe,
    serverNotices: {} as ServerNotices,
    attemptAcks: { probed: () => {} },
    serverGate: { askableMs: () => askableMs } as unknown as ServerGate,
  });
});

describe("a try whose server says nothing", () => {
  it("should be left at once where its server has started again", () => {
    const nowMs = SENT_MS + 10;
    assert.equal(silence.judge(WAITING, nowMs), undefined);
    serverDirectory.put({ ...SERVER, bornMs: undefined });
    serverDirectory.put({ ...SERVER, state: "draining" });
    assert.equal(silence.judge(WAITING, nowMs), undefined);
    serverDirectory.put({ ...SERVER, bornMs: 6 });
    assert.equal(silence.judge(WAITING, nowMs), "server_restarted");
  });

  it("should have its server asked, but not while that rests", () => {
    askableMs = SENT_MS + 3_000;
    assert.equal(silence.judge(WAITING, SENT_MS + 2_900), undefined);
    assert.equal(asked, 0);
    silence.judge(WAITING, SENT_MS + 3_500);
    assert.equal(asked, 1);
  });

  it("should not be left for want of answers to what its server is not asked", () => {
    // It names a limit, and may count what it is asked.
    askableMs = Infinity;
    assert.equal(silence.judge(WAITING, SENT_MS + 5_000), undefined);
    assert.equal(asked, 0);
  });
});
