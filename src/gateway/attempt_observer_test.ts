/**
 * Guards against sessions bound to a release that never ran them. A session counts as served by a
 * release as soon as one of its requests is about to be sent there. If all servers of the release
 * rejected the request and asked for backoff, the session stayed bound to the release, and its
 * requests were refused while servers of other releases were free.
 */

import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import type { BackendAttemptOutcome } from "../backends/backend_attempt.ts";
import { ModelLatencyEstimator } from "../core/cascade/model_latency_estimator.ts";
import type { PromptPartId, ReleaseId, RouteId } from "../core/ids.ts";
import { EvidenceAggregator } from "../core/rollout/evidence.ts";
import { SessionTracker } from "../core/rollout/session_tracker.ts";
import { PromptHolders } from "../core/routing/prompt_holders.ts";
import { PrefillTimeEstimator } from "../core/servers/prefill_time_estimator.ts";
import { ServerLoads } from "../core/servers/server_loads.ts";
import { ServerStallDetector } from "../core/servers/server_stall_detector.ts";
import { decodeCallerHead } from "../platform/header_wire.ts";
import { SilentLogger } from "../runtime/logger.ts";
import { serverRecord } from "../../tests/fixtures/server_record.ts";
import { AttemptObserver, type ObservedAttempt } from "./attempt_observer.ts";
import { createAttemptRecord } from "./attempt_record.ts";

const SESSION = "aa" as PromptPartId;
const CANARY = "v2" as ReleaseId;
const NOW_MS = 1_000;
const HEAD = decodeCallerHead({ "fieldrack-prefix-hash": "aa:900,01:10" });
/** Outcomes of attempts that no server has run. */
const NOT_RUN: readonly BackendAttemptOutcome[] = [
  { tag: "not_run", status: 503, restMs: 3_000 },
  { tag: "not_run", status: 503, restMs: 0 },
  { tag: "withheld" },
  { tag: "not_sent", reason: "ECONNREFUSED" },
  { tag: "misdirected" },
];

let nowMs: number;
let sessionTracker: SessionTracker;
let observer: AttemptObserver;
let evidenceAggregator: EvidenceAggregator;
/** Whether no server of the service can be reached. */
let isLost: boolean;

beforeEach(() => {
  nowMs = NOW_MS;
  sessionTracker = new SessionTracker(10_000);
  evidenceAggregator = new EvidenceAggregator();
  isLost = false;
  observer = new AttemptObserver({
    serverLoads: new ServerLoads(),
    evidenceAggregator,
    sessionTracker,
    promptHolders: new PromptHolders(),
    modelLatencyEstimator: new ModelLatencyEstimator(),
    serverStallDetector: new ServerStallDetector(),
    serverReachability: { isLost: () => isLost },
    prefillTimeEstimator: new PrefillTimeEstimator(),
    clock: { monotonicMs: () => nowMs, wallMs: () => nowMs },
    logger: new SilentLogger(),
  });
});

function startAttempt(release: ReleaseId): ObservedAttempt {
  const server = serverRecord("i-1", { release });
  const times = { startedMs: nowMs, expectedMs: 0 };
  const observed = {
    server,
    service: server.service,
    route: "r-1" as RouteId,
    head: HEAD,
    record: createAttemptRecord(server, { model: undefined, ...times }),
    work: { prefillMs: 1, decodeMs: 1, sharedPrefillMs: 0 },
  };
  observer.attemptStarted(observed);
  return observed;
}

function boundRelease(): ReleaseId | undefined {
  return sessionTracker.releaseOf(SESSION, nowMs);
}

describe("session whose request was not run", () => {
  for (const outcome of NOT_RUN) {
    it(`should not be bound to the release of the attempt: ${outcome.tag}`, () => {
      const observed = startAttempt(CANARY);
      assert.equal(boundRelease(), CANARY);
      observer.attemptEnded(observed, { outcome, expired: false });
      assert.equal(boundRelease(), undefined);
    });
  }

  it("should stay bound to the release that ran it before", () => {
    const stable = serverRecord("i-1").release;
    const streamed: BackendAttemptOutcome = { tag: "streamed", framed: true };
    observer.attemptEnded(startAttempt(stable), {
      outcome: streamed,
      expired: false,
    });
    nowMs += 10;
    const observed = startAttempt(CANARY);
    observer.attemptEnded(observed, {
      outcome: { tag: "withheld" },
      expired: false,
    });
    assert.equal(boundRelease(), stable);
  });

  it("should stay bound to the release if another of its requests was sent there since", () => {
    const rejected = startAttempt(CANARY);
    nowMs += 10;
    startAttempt(CANARY);
    observer.attemptEnded(rejected, {
      outcome: { tag: "withheld" },
      expired: false,
    });
    assert.equal(boundRelease(), CANARY);
  });
});

// Attempts that were under way when a VM lost its links to all servers counted as failures of the
// releases that ran them, so a good release could be rolled back for the links of some VMs.
describe("evidence on a release", () => {
  const broken: BackendAttemptOutcome = { tag: "broken", reason: "reset" };

  for (const lost of [false, true]) {
    const title = lost
      ? "should not count failures while no server is reachable"
      : "should count failures while servers are reachable";
    it(title, () => {
      const observed = startAttempt(CANARY);
      isLost = lost;
      observer.attemptEnded(observed, { outcome: broken, expired: false });
      const evidence = evidenceAggregator.groupEvidence(
        observed.service,
        new Set(),
      );
      const failures = evidence.reduce((sum, one) => sum + one.failures, 0);
      assert.equal(failures, lost ? 0 : 1);
    });
  }
});
