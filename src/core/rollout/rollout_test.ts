import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type {
  EntryId,
  PromptPartId,
  ReleaseId,
  RouteId,
  ServiceId,
} from "../ids.ts";
import type { RollOutOrder } from "../servers/roll_out_order.ts";
import type { ServerRecord } from "../servers/server_record.ts";
import { EvidenceBook, type EvidenceByKind } from "./evidence.ts";
import { ReleaseChoice } from "./release_choice.ts";
import { ReleaseGate } from "./release_gate.ts";
import { SessionBook } from "./session_book.ts";
import { judgeTrial } from "./trial_verdict.ts";
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
  it("should hold back a release that shows before its order", () => {
    const gate = new ReleaseGate();
    gate.split(SERVICE, { servers: SERVERS.slice(0, 2), nowMs: 0 });
    const { stable, trial } = gate.split(SERVICE, {
      servers: SERVERS,
      nowMs: 100,
    });
    assert.deepEqual(stable.map(({ release }) => release), [OLD, OLD]);
    assert.deepEqual(trial, []);
  });

  it("should use a release without an order once it has stood for a while", () => {
    const gate = new ReleaseGate();
    gate.split(SERVICE, { servers: SERVERS.slice(0, 2), nowMs: 0 });
    gate.split(SERVICE, { servers: SERVERS, nowMs: 100 });
    const { stable } = gate.split(SERVICE, { servers: SERVERS, nowMs: 9_000 });
    assert.equal(stable.length, 3);
  });

  it("should give all work to the new release once it is completed", () => {
    const gate = new ReleaseGate();
    gate.setOrder({ ...ORDER, state: "completed" });
    const { stable } = gate.split(SERVICE, { servers: SERVERS, nowMs: 0 });
    assert.deepEqual(stable.map(({ release }) => release), [NEW]);
  });

  it("should give nothing to a release that was braked, here or elsewhere", () => {
    const gate = new ReleaseGate();
    gate.setOrder(ORDER);
    assert.equal(gate.brake(ORDER), true);
    assert.equal(gate.brake(ORDER), false);
    assert.deepEqual(
      gate.split(SERVICE, { servers: SERVERS, nowMs: 0 }).trial,
      [],
    );
  });

  it("should give nothing to a rolled-back release when the next one is ordered", () => {
    const next = "v3" as ReleaseId;
    const later = SERVERS.map((server, at) =>
      at === 0 ? { ...server, release: next } : server
    );
    const braked = new ReleaseGate();
    braked.setOrder(ORDER);
    braked.brake(ORDER);
    const reported = new ReleaseGate();
    reported.setOrder({ ...ORDER, state: "rolled_back" });
    for (const gate of [braked, reported]) {
      gate.setOrder({ ...ORDER, release: next, stateRelease: NEW });
      const { stable, trial } = gate.split(SERVICE, {
        servers: later,
        nowMs: 0,
      });
      assert.deepEqual(stable.map(({ release }) => release), [OLD]);
      assert.deepEqual(trial.map(({ release }) => release), [next]);
    }
  });

  it("should never shrink the share of a trial", () => {
    const gate = new ReleaseGate();
    gate.setOrder(ORDER);
    gate.setTrial({ service: SERVICE, release: NEW, share: 0.5 });
    gate.setTrial({ service: SERVICE, release: NEW, share: 0.1 });
    assert.equal(gate.trialShare(SERVICE), 0.5);
  });
});

describe("choice of a release", () => {
  const session = "5c1e07a2" as PromptPartId;
  function fixture() {
    const sessionBook = new SessionBook(5_000);
    // Every session stands below every share: all may go on trial.
    const choice = new ReleaseChoice({ sessionBook, unitHash: () => 0 });
    const gate = new ReleaseGate();
    gate.setOrder(ORDER);
    const allowed = gate.split(SERVICE, { servers: SERVERS, nowMs: 0 });
    const choose = (share: number, nowMs: number) =>
      choice.choose({
        service: SERVICE,
        allowed,
        share,
        session,
        requestKey: "",
        nowMs,
      })[0]?.[0]?.release;
    return { sessionBook, choose };
  }

  it("should keep a session on its release while the trial is small", () => {
    const { sessionBook, choose } = fixture();
    sessionBook.note({
      session,
      release: OLD,
      seenMs: 0,
      learntMs: 0,
      here: false,
    });
    assert.equal(choose(0.07, 4_000), OLD);
    assert.equal(choose(0.07, 6_000), NEW);
  });

  it("should move sessions once the trial has grown, and never back", () => {
    const { sessionBook, choose } = fixture();
    sessionBook.note({
      session,
      release: OLD,
      seenMs: 0,
      learntMs: 0,
      here: true,
    });
    assert.equal(choose(0.25, 1_000), NEW);
    sessionBook.note({
      session,
      release: NEW,
      seenMs: 1_000,
      learntMs: 1_000,
      here: true,
    });
    assert.equal(choose(0.07, 2_000), NEW);
  });

  it("should send nobody on trial at a share of zero", () => {
    assert.equal(fixture().choose(0, 0), OLD);
  });
});

describe("verdict on a trial", () => {
  const route = "r-1" as RouteId;
  function failing(answers: number, failures: number): EvidenceByKind {
    const row = { service: SERVICE, release: NEW, route };
    return new Map([["r-1/", { ...row, answers, failures, logMsSum: 0 }]]);
  }
  function judge(
    { answers, failures, firstByteMs }: {
      answers: number;
      failures: number;
      firstByteMs: number;
    },
  ) {
    const book = new EvidenceBook();
    const base = { service: SERVICE, route };
    for (let n = 0; n < 100; n++) {
      book.observe({ ...base, release: OLD, failed: n < 2, firstByteMs: 100 });
    }
    for (let n = 0; n < answers; n++) {
      const failed = n < failures;
      book.observe({ ...base, release: NEW, failed, firstByteMs });
    }
    return judgeTrial({
      stable: book.total(SERVICE, OLD),
      trial: book.total(SERVICE, NEW),
    }).tag;
  }

  it("should find a release bad that fails much more often", () => {
    assert.equal(judge({ answers: 12, failures: 4, firstByteMs: 100 }), "bad");
  });

  it("should find a release bad that is several times slower", () => {
    assert.equal(judge({ answers: 12, failures: 0, firstByteMs: 800 }), "bad");
  });

  it("should not find a release bad for a cold cache or one failure", () => {
    assert.equal(
      judge({ answers: 30, failures: 1, firstByteMs: 180 }),
      "sound",
    );
  });

  it("should find a release bad though the stable one fails as well", () => {
    const stable = failing(120, 10);
    assert.equal(judgeTrial({ stable, trial: failing(50, 16) }).tag, "bad");
    assert.notEqual(judgeTrial({ stable, trial: failing(50, 5) }).tag, "bad");
  });

  it("should not call a release sound that fails three times in a dozen", () => {
    const stable = failing(100, 2);
    assert.equal(judgeTrial({ stable, trial: failing(12, 3) }).tag, "unsure");
  });

  it("should wait for more answers before a release is sound", () => {
    assert.equal(
      judge({ answers: 5, failures: 0, firstByteMs: 100 }),
      "unsure",
    );
  });

  it("should add up what other VMs tell, one life of a process once", () => {
    const book = new EvidenceBook();
    const told = {
      service: SERVICE,
      release: NEW,
      route,
      answers: 5,
      failures: 2,
      logMsSum: 20,
    };
    book.hear("vm-2" as EntryId, { life: 1, scope: "own", evidence: [told] });
    book.hear("vm-2" as EntryId, { life: 1, scope: "own", evidence: [told] });
    book.hear("vm-2" as EntryId, { life: 2, scope: "own", evidence: [told] });
    assert.equal(book.total(SERVICE, NEW).get(`${route}/`)?.answers, 10);
  });
});
