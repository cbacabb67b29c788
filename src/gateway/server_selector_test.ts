import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { testMember } from "../../tests/fixtures/test_member.ts";
import type { InstanceId, PromptPartId, ReleaseId } from "../core/ids.ts";
import { ReleaseChoice } from "../core/rollout/release_choice.ts";
import { ReleaseGate } from "../core/rollout/release_gate.ts";
import { SessionBook } from "../core/rollout/session_book.ts";
import { AffinityChoice } from "../core/routing/affinity_choice.ts";
import { LimitAdmission } from "../core/routing/limit_admission.ts";
import { PromptHolders } from "../core/routing/prompt_holders.ts";
import { ServerDirectory } from "../core/servers/server_directory.ts";
import { ServerLoads } from "../core/servers/server_loads.ts";
import { UnackedAttempts } from "../core/servers/unacked_attempts.ts";
import { ServerLimits } from "../core/servers/server_limits.ts";
import { ServerBackoffs } from "../core/servers/server_backoffs.ts";
import { decodeCallerHead } from "../platform/header_wire.ts";
import { unitHash } from "../runtime/hashing.ts";
import { SilentLogger } from "../runtime/logger.ts";
import { serverRecord } from "../../tests/fixtures/server_record.ts";
import type { ColdServerGuard } from "./cold_server_guard.ts";
import { ServerGate } from "./server_gate.ts";
import {
  type Selection,
  ServerSelector,
  sessionOf,
} from "./server_selector.ts";

function sessionFor(parts: string): string | undefined {
  return sessionOf(decodeCallerHead({ "fieldrack-prefix-hash": parts }));
}

describe("session of a request", () => {
  it("should be the last part that other requests share, not the request's own", () => {
    const first = sessionFor("aa:2520,bb:3780,01:2890");
    const second = sessionFor("aa:2520,bb:3780,02:1200");
    assert.equal(first, "bb");
    assert.equal(second, first);
  });

  it("should be the only part where there is one, and none without parts", () => {
    assert.equal(sessionFor("aa:2520"), "aa");
    assert.equal(sessionFor(""), undefined);
  });
});

const STABLE = serverRecord("i-stable");
const TRIAL = serverRecord("i-trial", { release: "v2" as ReleaseId });
const SESSION = "aa" as PromptPartId;
const SELECTION: Selection = {
  service: STABLE.service,
  head: decodeCallerHead({ "fieldrack-prefix-hash": "aa:900,01:10" }),
  model: undefined,
  tried: new Set(),
  isRetry: false,
  sharedMs: 0,
};
const REST_MS = 3_000;
const SETTLED_MS = 5_000;
const SELF = testMember("edge-1", { data_centre: STABLE.dataCentre });

describe("choice of a server while some rest", () => {
  let nowMs: number;
  let serverDirectory: ServerDirectory;
  let serverBackoffs: ServerBackoffs;
  let serverLimits: ServerLimits;
  let limitAdmission: LimitAdmission;
  let sessionBook: SessionBook;
  let serverLoads: ServerLoads;
  let serverGate: ServerGate;
  let selector: ServerSelector;

  beforeEach(() => {
    nowMs = 10_000;
    serverDirectory = new ServerDirectory();
    serverBackoffs = new ServerBackoffs();
    sessionBook = new SessionBook(60_000);
    serverLoads = new ServerLoads();
    const clock = { monotonicMs: () => nowMs, wallMs: () => nowMs };
    const chance = () => 0;
    const promptHolders = new PromptHolders();
    serverLimits = new ServerLimits();
    limitAdmission = new LimitAdmission({
      unackedAttempts: new UnackedAttempts(),
      serverLimits,
      memberTable: { self: SELF, others: () => [] },
      unitHash,
      clock: { monotonicMs: () => nowMs },
    });
    // By then it knows the other VMs, if there are any.
    nowMs += SETTLED_MS;
    serverGate = new ServerGate({
      serverDirectory,
      serverBackoffs,
      serverLimits,
      limitAdmission,
      coldServerGuard: {
        bearing: (_service: unknown, servers: unknown) => servers,
        warmInMs: () => 0,
        sending: () => {},
      } as unknown as ColdServerGuard,
      clock,
      logger: new SilentLogger(),
    });
    selector = new ServerSelector({
      vmSettings: { dataCentre: STABLE.dataCentre } as never,
      serverDirectory,
      serverGate,
      releaseGate: trialGate(),
      releaseChoice: new ReleaseChoice({ sessionBook, unitHash }),
      rollOutFollower: { ready: true } as never,
      evacuationFollower: { ready: true } as never,
      affinityChoice: new AffinityChoice({
        serverLoads,
        promptHolders,
        unitHash,
        chance,
      }),
      promptHolders,
      sessionBook,
      attemptAcks: { isUnresponsive: () => false },
      clock,
      chance,
    });
    for (const server of [STABLE, TRIAL]) serverDirectory.put(server);
  });

  /** All new sessions are on trial. */
  function trialGate(): ReleaseGate {
    const gate = new ReleaseGate();
    const { service } = STABLE;
    const { release } = TRIAL;
    const undecided = { state: undefined, stateRelease: undefined };
    gate.setOrder({ service, release, limitMs: 60_000, ...undecided });
    gate.setTrial({ service, release, share: 1, stepMs: 0 } as never);
    return gate;
  }

  function chosen(
    tried: ReadonlySet<InstanceId> = new Set(),
  ): InstanceId | undefined {
    return selector.choose({ ...SELECTION, tried })?.instance;
  }

  function runBy(release: ReleaseId): void {
    const times = { seenMs: nowMs, learntMs: nowMs };
    sessionBook.note({ session: SESSION, release, ...times, here: true });
  }

  function rest(server: typeof STABLE): void {
    serverBackoffs.start(server, { restMs: REST_MS, nowMs });
  }

  it("should have no way to a server that rests, also where the others have failed", () => {
    for (let n = 0; n < 3; n++) {
      serverLoads.recordFailure(STABLE.instance, nowMs);
    }
    rest(TRIAL);
    assert.equal(chosen(), STABLE.instance);
    rest(STABLE);
    assert.equal(chosen(), undefined);
    assert.equal(selector.opensInMs(SELECTION), REST_MS);
    nowMs += REST_MS;
    assert.equal(chosen(), TRIAL.instance);
  });

  it("should keep a session with its release while all servers of that rest", () => {
    runBy(TRIAL.release);
    rest(TRIAL);
    assert.equal(chosen(), undefined);
    assert.equal(selector.opensInMs(SELECTION), REST_MS);
    nowMs += REST_MS;
    assert.equal(chosen(), TRIAL.instance);
  });

  it("should give a session that has run nowhere to another release", () => {
    rest(TRIAL);
    assert.equal(chosen(), STABLE.instance);
    assert.equal(selector.opensInMs(SELECTION), undefined);
  });

  it("should leave a release on trial whose servers have failed the request", () => {
    runBy(TRIAL.release);
    const tried = new Set<InstanceId>([TRIAL.instance]);
    assert.equal(chosen(tried), STABLE.instance);
  });

  it("should give a trial's requests to others of its servers", () => {
    const second = serverRecord("i-second", { release: TRIAL.release });
    serverDirectory.put(second);
    runBy(TRIAL.release);
    rest(TRIAL);
    assert.equal(chosen(), second.instance);
  });

  it("should pass by a server that has no room, and send what has a place once", () => {
    const limit = { life: STABLE, limitPerS: 1, atMs: nowMs };
    serverLimits.receive(limit);
    rest(TRIAL);
    // The first request of a part comes after its interval.
    assert.equal(chosen(), undefined);
    assert.equal(serverGate.askableMs(STABLE), Infinity);
    nowMs += 1_000;
    assert.equal(chosen(), STABLE.instance);
    const place = serverGate.sending(STABLE);
    assert.equal(chosen(), undefined);
    place.release();
    assert.equal(chosen(), STABLE.instance);
    assert.equal(serverGate.maySend(STABLE, serverGate.sending(STABLE)), true);
    assert.equal(chosen(), undefined);
    const endedMs = nowMs + 1;
    serverLimits.receiveNoLimit(STABLE, endedMs);
    assert.equal(chosen(), STABLE.instance);
    assert.equal(serverGate.askableMs(STABLE), endedMs);
  });

  it("should send nothing that was chosen before the word", () => {
    const place = limitAdmission.reserve(STABLE);
    assert.equal(serverGate.maySend(STABLE, place), true);
    rest(STABLE);
    assert.equal(serverGate.maySend(STABLE, place), false);
    nowMs += REST_MS;
    assert.equal(serverGate.maySend(STABLE, place), true);
    serverDirectory.markLeaving(STABLE);
    assert.equal(serverGate.maySend(STABLE, place), false);
  });
});
