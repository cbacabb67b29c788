import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type {
  EntryId,
  ModelId,
  PromptPartId,
  ReleaseId,
  RouteId,
  ServiceId,
} from "../ids.ts";
import type { RollOutOrder } from "../servers/roll_out_order.ts";
import type { ServerRecord } from "../servers/server_record.ts";
import { EvidenceAggregator, type EvidenceByKind } from "./evidence.ts";
import { ReleaseSelector } from "./release_selector.ts";
import { ReleaseGate } from "./release_gate.ts";
import { SessionTracker } from "./session_tracker.ts";
import { evaluateCanary } from "./canary_evaluation.ts";
import { compareLatencies } from "./latency_comparison.ts";
import { serverRecord } from "../../../tests/fixtures/server_record.ts";

const SERVICE = "inspect" as ServiceId;
const OLD = "v1" as ReleaseId;
const NEW = "v2" as ReleaseId;
const ORDER: RollOutOrder = {
  service: SERVICE,
  release: NEW,
  limitMs: 24_000,
  state: "in_progress",
  stateRelease: NEW,
};

function server(name: string, release: ReleaseId): ServerRecord {
  return serverRecord(name, { service: SERVICE, release });
}

const SERVERS = [server("a", OLD), server("b", OLD), server("c", NEW)];

describe("release gate", () => {
  it("should hold back a release whose servers appear before its order", () => {
    const gate = new ReleaseGate();
    gate.eligibleServers(SERVICE, { servers: SERVERS.slice(0, 2), nowMs: 0 });
    const { stable, canary } = gate.eligibleServers(SERVICE, {
      servers: SERVERS,
      nowMs: 100,
    });
    assert.deepEqual(stable.map(({ release }) => release), [OLD, OLD]);
    assert.deepEqual(canary, []);
  });

  it("should use a release without an order after the hold period", () => {
    const gate = new ReleaseGate();
    gate.eligibleServers(SERVICE, { servers: SERVERS.slice(0, 2), nowMs: 0 });
    gate.eligibleServers(SERVICE, { servers: SERVERS, nowMs: 100 });
    const { stable } = gate.eligibleServers(SERVICE, {
      servers: SERVERS,
      nowMs: 9_000,
    });
    assert.equal(stable.length, 3);
  });

  it("should send all traffic to the new release once it is completed", () => {
    const gate = new ReleaseGate();
    gate.setOrder({ ...ORDER, state: "completed" });
    const { stable } = gate.eligibleServers(SERVICE, {
      servers: SERVERS,
      nowMs: 0,
    });
    assert.deepEqual(stable.map(({ release }) => release), [NEW]);
  });

  it("should send no traffic to a halted release", () => {
    const gate = new ReleaseGate();
    gate.setOrder(ORDER);
    assert.equal(gate.halt(ORDER), true);
    assert.equal(gate.halt(ORDER), false);
    assert.deepEqual(
      gate.eligibleServers(SERVICE, { servers: SERVERS, nowMs: 0 }).canary,
      [],
    );
  });

  it("should send no traffic to a rolled-back release after the next order", () => {
    const next = "v3" as ReleaseId;
    const later = SERVERS.map((server, at) =>
      at === 0 ? { ...server, release: next } : server
    );
    const halted = new ReleaseGate();
    halted.setOrder(ORDER);
    halted.halt(ORDER);
    const reported = new ReleaseGate();
    reported.setOrder({ ...ORDER, state: "rolled_back" });
    for (const gate of [halted, reported]) {
      gate.setOrder({ ...ORDER, release: next, stateRelease: NEW });
      const { stable, canary } = gate.eligibleServers(SERVICE, {
        servers: later,
        nowMs: 0,
      });
      assert.deepEqual(stable.map(({ release }) => release), [OLD]);
      assert.deepEqual(canary.map(({ release }) => release), [next]);
    }
  });

  it("should never decrease the share of a canary", () => {
    const gate = new ReleaseGate();
    gate.setOrder(ORDER);
    gate.setCanary({ service: SERVICE, release: NEW, share: 0.5 });
    gate.setCanary({ service: SERVICE, release: NEW, share: 0.1 });
    assert.equal(gate.canaryShare(SERVICE), 0.5);
  });
});

describe("release selector", () => {
  const session = "5c1e07a2" as PromptPartId;
  function fixture() {
    const sessionTracker = new SessionTracker(5_000);
    // Every session hashes below every share, so that all may go to the canary.
    const selector = new ReleaseSelector({ sessionTracker, unitHash: () => 0 });
    const gate = new ReleaseGate();
    gate.setOrder(ORDER);
    const eligible = gate.eligibleServers(SERVICE, {
      servers: SERVERS,
      nowMs: 0,
    });
    const selectRelease = (share: number, nowMs: number) =>
      selector.selectServers({
        service: SERVICE,
        eligible,
        share,
        session,
        requestKey: "",
        nowMs,
      })[0]?.[0]?.release;
    return { sessionTracker, selectRelease };
  }

  it("should keep a session on its release while the canary share is small", () => {
    const { sessionTracker, selectRelease } = fixture();
    sessionTracker.record({
      session,
      release: OLD,
      seenMs: 0,
      learnedAtMs: 0,
      here: false,
    });
    assert.equal(selectRelease(0.07, 4_000), OLD);
    assert.equal(selectRelease(0.07, 6_000), NEW);
  });

  it("should move sessions once the canary share has grown, and never back", () => {
    const { sessionTracker, selectRelease } = fixture();
    sessionTracker.record({
      session,
      release: OLD,
      seenMs: 0,
      learnedAtMs: 0,
      here: true,
    });
    assert.equal(selectRelease(0.25, 1_000), NEW);
    sessionTracker.record({
      session,
      release: NEW,
      seenMs: 1_000,
      learnedAtMs: 1_000,
      here: true,
    });
    assert.equal(selectRelease(0.07, 2_000), NEW);
  });

  it("should send no session to the canary at a share of zero", () => {
    assert.equal(fixture().selectRelease(0, 0), OLD);
  });
});

describe("canary evaluation", () => {
  const route = "r-1" as RouteId;
  function failing(answers: number, failures: number): EvidenceByKind {
    const row = { service: SERVICE, release: NEW, route };
    const noLatencies = { latencies: 0, logMsSum: 0, logMsSquares: 0 };
    return new Map([["r-1/", { ...row, answers, failures, ...noLatencies }]]);
  }
  function evaluate(
    { answers, failures, firstByteMs }: {
      answers: number;
      failures: number;
      firstByteMs: number;
    },
  ) {
    const evidence = new EvidenceAggregator();
    const base = { service: SERVICE, route, model: "m-1" as ModelId };
    for (let n = 0; n < 100; n++) {
      evidence.observe({ ...base, release: OLD, failed: n < 2 });
      if (n < 2) continue;
      evidence.observeLatency({ ...base, release: OLD, firstByteMs: 100 });
    }
    for (let n = 0; n < answers; n++) {
      const failed = n < failures;
      evidence.observe({ ...base, release: NEW, failed });
      if (failed) continue;
      evidence.observeLatency({ ...base, release: NEW, firstByteMs });
    }
    const stable = evidence.total(SERVICE, OLD);
    const canary = evidence.total(SERVICE, NEW);
    const latency = compareLatencies({
      stable,
      canary,
      isConcurrent: true,
      haveSessionsMoved: false,
    });
    return evaluateCanary({ stable, canary, latency }).tag;
  }

  it("should report a release as bad if it fails much more often", () => {
    assert.equal(
      evaluate({ answers: 12, failures: 4, firstByteMs: 100 }),
      "bad",
    );
  });

  it("should report a release as bad if it is several times slower", () => {
    assert.equal(
      evaluate({ answers: 12, failures: 0, firstByteMs: 800 }),
      "bad",
    );
  });

  it("should not report a release as bad for a cold cache or one failure", () => {
    assert.equal(
      evaluate({ answers: 30, failures: 1, firstByteMs: 180 }),
      "sound",
    );
  });

  it("should report a release as bad though the stable one fails as well", () => {
    const stable = failing(120, 10);
    assert.equal(
      evaluateCanary({ stable, canary: failing(50, 16) }).tag,
      "bad",
    );
    assert.notEqual(
      evaluateCanary({ stable, canary: failing(50, 5) }).tag,
      "bad",
    );
  });

  it("should not report a release as sound if it fails three times in a dozen", () => {
    const stable = failing(100, 2);
    assert.equal(
      evaluateCanary({ stable, canary: failing(12, 3) }).tag,
      "unsure",
    );
  });

  it("should require more answers before a release is sound", () => {
    assert.equal(
      evaluate({ answers: 5, failures: 0, firstByteMs: 100 }),
      "unsure",
    );
  });

  it("should sum the evidence of other VMs, counting each incarnation of a process once", () => {
    const evidence = new EvidenceAggregator();
    const row = {
      service: SERVICE,
      release: NEW,
      route,
      answers: 5,
      failures: 2,
      latencies: 5,
      logMsSum: 20,
      logMsSquares: 80,
    };
    evidence.receive("vm-2" as EntryId, {
      life: 1,
      scope: "own",
      evidence: [row],
    });
    evidence.receive("vm-2" as EntryId, {
      life: 1,
      scope: "own",
      evidence: [row],
    });
    evidence.receive("vm-2" as EntryId, {
      life: 2,
      scope: "own",
      evidence: [row],
    });
    assert.equal(evidence.total(SERVICE, NEW).get(`${route}/`)?.answers, 10);
  });
});
