/**
 * Guards against attempts that wait for a server that has restarted. They ended only when the
 * server stopped sending bytes, although the server list already showed that it had restarted
 * under the same ID and so no longer ran their requests.
 */

import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import type { ServerProbe } from "../backends/server_probe.ts";
import type { RouteId } from "../core/ids.ts";
import type { Route } from "../core/routes/route.ts";
import { ServerDirectory } from "../core/servers/server_directory.ts";
import { ServerStallDetector } from "../core/servers/server_stall_detector.ts";
import { serverRecord } from "../../tests/fixtures/server_record.ts";
import type { ServerAdmission } from "./server_admission.ts";
import type { ServerNoticeHandler } from "./server_notice_handler.ts";
import { createAttemptRecord } from "./attempt_record.ts";
import { AttemptStallDetector } from "./attempt_stall_detector.ts";

const SERVER = serverRecord("i-1", { bornMs: 5 });
const SENT_MS = 1_000;
const RECORD = createAttemptRecord(SERVER, {
  model: undefined,
  startedMs: SENT_MS,
  expectedMs: 10_000,
});
const ROUTE = { id: "r-1" as RouteId, targetMs: undefined } as Route;
const PENDING = {
  server: SERVER,
  record: RECORD,
  route: ROUTE,
  isModelServer: true,
};

let serverDirectory: ServerDirectory;
let earliestProbeMs: number | undefined;
let probes: number;
let detector: AttemptStallDetector;

beforeEach(() => {
  serverDirectory = new ServerDirectory();
  serverDirectory.put(SERVER);
  earliestProbeMs = undefined;
  probes = 0;
  detector = new AttemptStallDetector({
    serverDirectory,
    serverStallDetector: new ServerStallDetector(),
    serverProbe: { ask: () => void (probes += 1) } as unknown as ServerProbe,
    serverNoticeHandler: {} as ServerNoticeHandler,
    attemptAcks: { probeAnswered: () => {} },
    serverAdmission: {
      earliestProbeMs: () => earliestProbeMs,
    } as unknown as ServerAdmission,
  });
});

describe("attempt whose server sends nothing", () => {
  it("should be stalled as soon as its server has restarted", () => {
    const nowMs = SENT_MS + 10;
    assert.equal(detector.check(PENDING, nowMs), undefined);
    serverDirectory.put({ ...SERVER, bornMs: undefined });
    serverDirectory.put({ ...SERVER, state: "draining" });
    assert.equal(detector.check(PENDING, nowMs), undefined);
    serverDirectory.put({ ...SERVER, bornMs: 6 });
    assert.equal(detector.check(PENDING, nowMs), "server_restarted");
  });

  it("should have its server probed, but not during backoff", () => {
    earliestProbeMs = SENT_MS + 3_000;
    assert.equal(detector.check(PENDING, SENT_MS + 2_900), undefined);
    assert.equal(probes, 0);
    detector.check(PENDING, SENT_MS + 3_500);
    assert.equal(probes, 1);
  });

  it("should not be stalled for missing probe responses when probes are not allowed", () => {
    // The server has stated a rate limit, and may count probes against it.
    earliestProbeMs = Infinity;
    assert.equal(detector.check(PENDING, SENT_MS + 5_000), undefined);
    assert.equal(probes, 0);
  });

  it("should have its server probed for an acknowledgement, but not during backoff", () => {
    detector.requestAck(SERVER, SENT_MS);
    assert.equal(probes, 1);
    earliestProbeMs = SENT_MS + 3_000;
    detector.requestAck(SERVER, SENT_MS + 2_900);
    assert.equal(probes, 1);
    detector.requestAck(SERVER, SENT_MS + 3_000);
    assert.equal(probes, 2);
  });
});
