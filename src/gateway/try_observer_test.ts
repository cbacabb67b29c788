/**
 * Found by reading: a session counted as served by a release as soon as one of its requests was
 * about to be sent there. Where the release's servers all turned it away and asked for rest, a
 * session that had never run on it was kept for it, and refused while other servers were free.
 */

import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import type { TryOutcome } from "../backends/backend_try.ts";
import { ModelLatencyEstimator } from "../core/cascade/model_latency_estimator.ts";
import type { PromptPartId, ReleaseId, RouteId } from "../core/ids.ts";
import { EvidenceAggregator } from "../core/rollout/evidence.ts";
import { SessionTracker } from "../core/rollout/session_tracker.ts";
import { PromptHolders } from "../core/routing/prompt_holders.ts";
import { ReadPace } from "../core/servers/read_pace.ts";
import { ServerLoads } from "../core/servers/server_loads.ts";
import { SilenceWatch } from "../core/servers/silence.ts";
import { decodeCallerHead } from "../platform/header_wire.ts";
import { SilentLogger } from "../runtime/logger.ts";
import { serverRecord } from "../../tests/fixtures/server_record.ts";
import { type ObservedTry, TryObserver } from "./try_observer.ts";
import { newTryRecord } from "./try_record.ts";

const SESSION = "aa" as PromptPartId;
const TRIAL = "v2" as ReleaseId;
const NOW_MS = 1_000;
const HEAD = decodeCallerHead({ "fieldrack-prefix-hash": "aa:900,01:10" });
/** Ends of tries that no server has run. */
const NOT_RUN: readonly TryOutcome[] = [
  { tag: "not_run", status: 503, restMs: 3_000 },
  { tag: "not_run", status: 503, restMs: 0 },
  { tag: "withheld" },
  { tag: "not_sent", reason: "ECONNREFUSED" },
  { tag: "misdirected" },
];

let nowMs: number;
let sessionTracker: SessionTracker;
let observer: TryObserver;

beforeEach(() => {
  nowMs = NOW_MS;
  sessionTracker = new SessionTracker(10_000);
  observer = new TryObserver({
    serverLoads: new ServerLoads(),
    evidenceAggregator: new EvidenceAggregator(),
    sessionTracker,
    promptHolders: new PromptHolders(),
    modelLatencyEstimator: new ModelLatencyEstimator(),
    silenceWatch: new SilenceWatch(),
    readPace: new ReadPace(),
    clock: { monotonicMs: () => nowMs, wallMs: () => nowMs },
    logger: new SilentLogger(),
  });
});

function begin(release: ReleaseId): ObservedTry {
  const server = serverRecord("i-1", { release });
  const times = { startedMs: nowMs, expectedMs: 0 };
  const observed = {
    server,
    service: server.service,
    route: "r-1" as RouteId,
    head: HEAD,
    record: newTryRecord(server, { model: undefined, ...times }),
    work: { readMs: 1, writeMs: 1, sharedMs: 0 },
  };
  observer.began(observed);
  return observed;
}

function release(): ReleaseId | undefined {
  return sessionTracker.releaseOf(SESSION, nowMs);
}

describe("a session whose request no server ran", () => {
  for (const outcome of NOT_RUN) {
    it(`should not be tied to the release that was asked: ${outcome.tag}`, () => {
      const observed = begin(TRIAL);
      assert.equal(release(), TRIAL);
      observer.ended(observed, { outcome, expired: false });
      assert.equal(release(), undefined);
    });
  }

  it("should stay with the release that ran it before", () => {
    const stable = serverRecord("i-1").release;
    const streamed: TryOutcome = { tag: "streamed", framed: true };
    observer.ended(begin(stable), { outcome: streamed, expired: false });
    nowMs += 10;
    const observed = begin(TRIAL);
    observer.ended(observed, {
      outcome: { tag: "withheld" },
      expired: false,
    });
    assert.equal(release(), stable);
  });

  it("should stay with the release that has run another request of it since", () => {
    const turnedAway = begin(TRIAL);
    nowMs += 10;
    begin(TRIAL);
    observer.ended(turnedAway, {
      outcome: { tag: "withheld" },
      expired: false,
    });
    assert.equal(release(), TRIAL);
  });
});
