import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { testMember } from "../../tests/fixtures/test_member.ts";
import type { InstanceId, PromptPartId, ReleaseId } from "../core/ids.ts";
import { ReleaseSelector } from "../core/rollout/release_selector.ts";
import { ReleaseGate } from "../core/rollout/release_gate.ts";
import { SessionTracker } from "../core/rollout/session_tracker.ts";
import { AffinityChoice } from "../core/routing/affinity_choice.ts";
import { LimitAdmission } from "../core/routing/limit_admission.ts";
import { PromptHolders } from "../core/routing/prompt_holders.ts";
import { ServerDirectory } from "../core/servers/server_directory.ts";
import { ServerLoads } from "../core/servers/server_loads.ts";
import { UnackedAttempts } from "../core/servers/unacked_attempts.ts";
import { ServerLimits } from "../core/servers/server_limits.ts";
import { BrittleServers } from "../core/servers/brittle_servers.ts";
import { ServerBackoffs } from "../core/servers/server_backoffs.ts";
import { decodeCallerHead } from "../platform/header_wire.ts";
import { unitHash } from "../runtime/hashing.ts";
import { SilentLogger } from "../runtime/logger.ts";
import { serverRecord } from "../../tests/fixtures/server_record.ts";
import type { ColdServerGuard } from "./cold_server_guard.ts";
import { ServerAdmission } from "./server_admission.ts";
import {
  type SelectionCriteria,
  ServerSelector,
  sessionOf,
} from "./server_selector.ts";

function sessionOfParts(parts: string): string | undefined {
  return sessionOf(decodeCallerHead({ "fieldrack-prefix-hash": parts }));
}

describe("sessionOf", () => {
  it("should return the last prompt part shared with other requests", () => {
    const first = sessionOfParts("aa:2520,bb:3780,01:2890");
    const second = sessionOfParts("aa:2520,bb:3780,02:1200");
    assert.equal(first, "bb");
    assert.equal(second, first);
  });

  it("should return the only prompt part, or undefined without parts", () => {
    assert.equal(sessionOfParts("aa:2520"), "aa");
    assert.equal(sessionOfParts(""), undefined);
  });
});

const STABLE = serverRecord("i-stable");
const TRIAL = serverRecord("i-trial", { release: "v2" as ReleaseId });
const SESSION = "aa" as PromptPartId;
const SELECTION: SelectionCriteria = {
  service: STABLE.service,
  head: decodeCallerHead({ "fieldrack-prefix-hash": "aa:900,01:10" }),
  model: undefined,
  tried: new Set(),
  avoided: new Set(),
  isRetry: false,
  sharedMs: 0,
};
const BACKOFF_MS = 3_000;
const SETTLE_MS = 5_000;
const SELF = testMember("edge-1", { data_centre: STABLE.dataCentre });

describe("ServerSelector while servers are in backoff", () => {
  let nowMs: number;
  let serverDirectory: ServerDirectory;
  let serverBackoffs: ServerBackoffs;
  let serverLimits: ServerLimits;
  let limitAdmission: LimitAdmission;
  let sessionTracker: SessionTracker;
  let serverLoads: ServerLoads;
  let serverAdmission: ServerAdmission;
  let selector: ServerSelector;

  beforeEach(() => {
    nowMs = 10_000;
    serverDirectory = new ServerDirectory();
    serverBackoffs = new ServerBackoffs();
    sessionTracker = new SessionTracker(60_000);
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
    // Passes the start-up period after which the VM is assumed to know all other VMs.
    nowMs += SETTLE_MS;
    serverAdmission = new ServerAdmission({
      serverDirectory,
      serverBackoffs,
      serverLimits,
      limitAdmission,
      brittleServers: new BrittleServers({ chance }),
      serverLoads,
      slotShare: { of: () => ({ vms: 1, ownSlots: 1 }) },
      coldServerGuard: {
        withWarmupCapacity: (_service: unknown, servers: unknown) => servers,
        warmInMs: () => 0,
        recordSend: () => {},
      } as unknown as ColdServerGuard,
      clock,
      logger: new SilentLogger(),
    });
    selector = new ServerSelector({
      vmSettings: { dataCentre: STABLE.dataCentre } as never,
      serverDirectory,
      serverAdmission,
      releaseGate: trialGate(),
      releaseSelector: new ReleaseSelector({ sessionTracker, unitHash }),
      rollOutFollower: { ready: true } as never,
      evacuationFollower: { ready: true } as never,
      affinityChoice: new AffinityChoice({
        serverLoads,
        promptHolders,
        unitHash,
        chance,
      }),
      promptHolders,
      sessionTracker,
      attemptAcks: { isUnresponsive: () => false },
      clock,
      chance,
    });
    for (const server of [STABLE, TRIAL]) serverDirectory.put(server);
  });

  /** Assigns all new sessions to the trial. */
  function trialGate(): ReleaseGate {
    const gate = new ReleaseGate();
    const { service } = STABLE;
    const { release } = TRIAL;
    const undecided = { state: undefined, stateRelease: undefined };
    gate.setOrder({ service, release, limitMs: 60_000, ...undecided });
    gate.setCanary({ service, release, share: 1, stepMs: 0 } as never);
    return gate;
  }

  function chooseInstance(
    tried: ReadonlySet<InstanceId> = new Set(),
  ): InstanceId | undefined {
    return selector.choose({ ...SELECTION, tried })?.instance;
  }

  function recordSession(release: ReleaseId): void {
    const times = { seenMs: nowMs, learnedAtMs: nowMs };
    sessionTracker.record({ session: SESSION, release, ...times, here: true });
  }

  function backOff(server: typeof STABLE): void {
    serverBackoffs.start(server, { restMs: BACKOFF_MS, nowMs });
  }

  it("should not choose a server in backoff even if the others have failed", () => {
    for (let n = 0; n < 3; n++) {
      serverLoads.recordFailure(STABLE.instance, nowMs);
    }
    backOff(TRIAL);
    assert.equal(chooseInstance(), STABLE.instance);
    backOff(STABLE);
    assert.equal(chooseInstance(), undefined);
    assert.equal(selector.availableInMs(SELECTION), BACKOFF_MS);
    nowMs += BACKOFF_MS;
    assert.equal(chooseInstance(), TRIAL.instance);
  });

  it("should keep a session on its release while all servers of that release are in backoff", () => {
    recordSession(TRIAL.release);
    backOff(TRIAL);
    assert.equal(chooseInstance(), undefined);
    assert.equal(selector.availableInMs(SELECTION), BACKOFF_MS);
    nowMs += BACKOFF_MS;
    assert.equal(chooseInstance(), TRIAL.instance);
  });

  it("should use another release for a session that has not run yet", () => {
    backOff(TRIAL);
    assert.equal(chooseInstance(), STABLE.instance);
    assert.equal(selector.availableInMs(SELECTION), undefined);
  });

  it("should leave the trial release if its servers have failed the request", () => {
    recordSession(TRIAL.release);
    const tried = new Set<InstanceId>([TRIAL.instance]);
    assert.equal(chooseInstance(tried), STABLE.instance);
  });

  it("should use another server of the trial release if one is in backoff", () => {
    const second = serverRecord("i-second", { release: TRIAL.release });
    serverDirectory.put(second);
    recordSession(TRIAL.release);
    backOff(TRIAL);
    assert.equal(chooseInstance(), second.instance);
  });

  it("should skip a server at its rate limit and use each permit once", () => {
    const limit = { life: STABLE, limitPerS: 1, atMs: nowMs };
    serverLimits.receive(limit);
    backOff(TRIAL);
    // The first permit of a VM's share of the limit becomes available after one interval.
    assert.equal(chooseInstance(), undefined);
    assert.equal(serverAdmission.earliestProbeMs(STABLE), Infinity);
    nowMs += 1_000;
    assert.equal(chooseInstance(), STABLE.instance);
    const permit = serverAdmission.reserve(STABLE);
    assert.equal(chooseInstance(), undefined);
    permit.release();
    assert.equal(chooseInstance(), STABLE.instance);
    assert.equal(
      serverAdmission.maySend(STABLE, serverAdmission.reserve(STABLE)),
      true,
    );
    assert.equal(chooseInstance(), undefined);
    const endedMs = nowMs + 1;
    serverLimits.receiveNoLimit(STABLE, endedMs);
    assert.equal(chooseInstance(), STABLE.instance);
    assert.equal(serverAdmission.earliestProbeMs(STABLE), endedMs);
  });

  it("should not send a request chosen before a backoff or shutdown notice", () => {
    const permit = limitAdmission.reserve(STABLE);
    assert.equal(serverAdmission.maySend(STABLE, permit), true);
    backOff(STABLE);
    assert.equal(serverAdmission.maySend(STABLE, permit), false);
    nowMs += BACKOFF_MS;
    assert.equal(serverAdmission.maySend(STABLE, permit), true);
    serverDirectory.markLeaving(STABLE);
    assert.equal(serverAdmission.maySend(STABLE, permit), false);
  });
});
