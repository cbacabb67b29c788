import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { testMember } from "../../tests/fixtures/test_member.ts";
import type {
  InstanceId,
  PartKey,
  PromptPartId,
  ReleaseId,
  RequestKey,
  RouteId,
  ServerIncarnation,
  ServiceId,
} from "../core/ids.ts";
import type { Crash } from "../core/crashes/crash.ts";
import { CrashHistory } from "../core/crashes/crash_history.ts";
import { MemberTable } from "../core/membership/member_table.ts";
import { EvidenceAggregator } from "../core/rollout/evidence.ts";
import { ReleaseGate } from "../core/rollout/release_gate.ts";
import { SessionTracker } from "../core/rollout/session_tracker.ts";
import {
  ADVERTISED_SESSION_SHARE,
  sessionHash,
} from "../core/rollout/session_hash.ts";
import { PromptHolders } from "../core/routing/prompt_holders.ts";
import { ServerDirectory } from "../core/servers/server_directory.ts";
import { ServerLimits } from "../core/servers/server_limits.ts";
import { ServerLoads } from "../core/servers/server_loads.ts";
import { serverRecord } from "../../tests/fixtures/server_record.ts";
import { unitHash } from "../runtime/hashing.ts";
import { SilentLogger } from "../runtime/logger.ts";
import {
  type DigestRequest,
  digestRequestSchema,
} from "../protocol/digest_schema.ts";
import type { StorePosition } from "../platform/object_store.ts";
import type { RoutingFollower } from "../store/routing_follower.ts";
import type { StoreSync } from "../store/store_sync.ts";
import { BrittleServers } from "../core/servers/brittle_servers.ts";
import { BrittleGossip } from "./brittle_gossip.ts";
import { CrashGossip } from "./crash_gossip.ts";
import { DigestService } from "./digest_service.ts";
import { LimitGossip } from "./limit_gossip.ts";
import type { FleetRelayRole } from "./fleet_relay_role.ts";

const SERVER = "i-1" as InstanceId;
const SERVICE = "model" as ServiceId;
const NEW = "v2" as ReleaseId;
const ROUTE = "r-1" as RouteId;
const GAP_MS = 5_000;

/** Clock shared by all VMs. */
let nowMs = 0;

/** One VM with the components from which its digests are built. */
class Vm {
  readonly loads = new ServerLoads();
  readonly directory = new ServerDirectory();
  readonly limits = new ServerLimits();
  readonly holders = new PromptHolders();
  readonly crashes = new CrashHistory();
  readonly evidence = new EvidenceAggregator();
  readonly ownWrites: StorePosition[] = [];
  readonly heardWrites: StorePosition[] = [];
  readonly sessions = new SessionTracker(GAP_MS);
  readonly #service: DigestService;

  constructor(id: string, { relay }: { relay: boolean }) {
    const releaseGate = new ReleaseGate();
    releaseGate.setOrder({
      service: SERVICE,
      release: NEW,
      limitMs: 10_000,
      state: undefined,
      stateRelease: undefined,
    });
    this.#service = new DigestService({
      memberTable: new MemberTable(testMember(id)),
      serverLoads: this.loads,
      promptHolders: this.holders,
      crashGossip: new CrashGossip({
        crashHistory: this.crashes,
        clock: { wallMs: () => nowMs, monotonicMs: () => nowMs },
        logger: new SilentLogger(),
      }),
      brittleGossip: new BrittleGossip({
        brittleServers: new BrittleServers({ chance: () => 0 }),
        serverLoads: this.loads,
        clock: { wallMs: () => nowMs, monotonicMs: () => nowMs },
      }),
      limitGossip: new LimitGossip({
        serverLimits: this.limits,
        clock: { wallMs: () => nowMs, monotonicMs: () => nowMs },
        logger: new SilentLogger(),
      }),
      serverFollower: {
        leaves: (life) => void this.directory.markLeaving(life),
        leavingLives: () => this.directory.leavingServers(),
      },
      evidenceAggregator: this.evidence,
      sessionTracker: this.sessions,
      releaseGate,
      routingFollower: {
        confirmation: { version: 1, ageMs: 0 },
        receiveConfirmation: () => {},
      } as unknown as RoutingFollower,
      storeSync: {
        storeLost: false,
        known: () => [],
        tell: () => ({
          reads: relay,
          lost: false,
          inTouch: relay,
          known: [],
          changes: [],
        }),
        hear: () => relay,
      } as unknown as StoreSync,
      unfollowedWriter: {
        writesToAdvertise: () => this.ownWrites,
        receive: (positions) => this.heardWrites.push(...positions),
      },
      relayRole: {
        isRelay: relay,
        recordStoreStatus: () => {},
      } as unknown as FleetRelayRole,
      unitHash,
      clock: { monotonicMs: () => nowMs, wallMs: () => 1 },
      logger: new SilentLogger(),
    });
  }

  createRequest(): DigestRequest {
    return this.#service.createRequest();
  }

  /** Exchanges digests with another VM, as in one round; both then aggregate what they received. */
  exchangeWith(other: Vm): void {
    const answer = other.#service.exchange(this.#service.createRequest());
    this.#service.receiveAnswer(answer, nowMs);
    this.#service.removeExpired();
    other.#service.removeExpired();
  }

  /** Serves a session with the canary release. */
  note(session: PromptPartId): void {
    const times = { seenMs: nowMs, learnedAtMs: nowMs };
    this.sessions.record({ session, release: NEW, ...times, here: true });
  }

  /** Counts a failed answer of the canary release. */
  fail(): void {
    this.evidence.observe({
      service: SERVICE,
      release: NEW,
      route: ROUTE,
      failed: true,
    });
  }

  /** Failures of the canary release known to this VM. */
  get failures(): number {
    const rows = [...this.evidence.total(SERVICE, NEW).values()];
    return rows.reduce((sum, { failures }) => sum + failures, 0);
  }
}

/** Returns a session in the sample that VMs share with each other. */
function sharedSession(): PromptPartId {
  for (let n = 0;; n++) {
    const session = `part-${n}` as PromptPartId;
    if (sessionHash(session, unitHash) < ADVERTISED_SESSION_SHARE) {
      return session;
    }
  }
}

let relays: Vm[];
let followers: Vm[];

/** Each follower exchanges digests with its relay, and the relays with each other. */
function runRound(): void {
  followers.forEach((vm, at) => vm.exchangeWith(relays[at % 2] as Vm));
  relays[0]?.exchangeWith(relays[1] as Vm);
  followers.forEach((vm, at) => vm.exchangeWith(relays[at % 2] as Vm));
}

beforeEach(() => {
  nowMs = 0;
  relays = [1, 2].map((n) => new Vm(`relay-${n}`, { relay: true }));
  followers = [1, 2, 3].map((n) => new Vm(`vm-${n}`, { relay: false }));
});

describe("digests between followers and relays", () => {
  it("should carry writes to unfollowed kinds both ways", () => {
    const [relay, other] = relays;
    assert.ok(relay !== undefined && other !== undefined);
    relay.ownWrites.push({ era: 1, revision: 7 });
    other.ownWrites.push({ era: 1, revision: 8 });
    relay.exchangeWith(other);
    assert.deepEqual(relay.heardWrites, other.ownWrites);
    assert.deepEqual(other.heardWrites, relay.ownWrites);
  });

  it("should count the work of each VM once, however often it is reported", () => {
    const all = [...relays, ...followers];
    for (const vm of all) vm.loads.begin(SERVER, 100);
    for (let n = 0; n < 3; n++) runRound();
    assert.deepEqual(
      all.map(({ loads }) => loads.work(SERVER)),
      all.map(() => 100 * all.length),
    );
  });

  it("should count evidence once, also after a follower has switched to another relay", () => {
    for (const vm of followers) vm.fail();
    for (let n = 0; n < 3; n++) runRound();
    assert.deepEqual(followers.map(({ failures }) => failures), [3, 3, 3]);
    nowMs += 2_000;
    // Each of the other followers now uses the other relay.
    followers.unshift(new Vm("vm-4", { relay: false }));
    for (let n = 0; n < 3; n++) runRound();
    assert.deepEqual(followers.map(({ failures }) => failures), [3, 3, 3, 3]);
  });

  it("should send rate limits of servers, and their removal, to all VMs", () => {
    const server = serverRecord(SERVER, { bornMs: 5 });
    const all = [...relays, ...followers];
    const limits = () => all.map((vm) => vm.limits.get(server));
    const notice = { life: server, limitPerS: 1.5, atMs: nowMs };
    followers[0]?.limits.receive(notice);
    for (let n = 0; n < 3; n++) runRound();
    assert.deepEqual(limits(), all.map(() => 1.5));
    nowMs += 100;
    followers[1]?.limits.receiveNoLimit(server, nowMs);
    for (let n = 0; n < 3; n++) runRound();
    assert.deepEqual(limits(), all.map(() => undefined));
  });

  it("should drop the work of a VM that no longer reports", () => {
    followers[0]?.loads.begin(SERVER, 100);
    runRound();
    assert.equal(followers[1]?.loads.work(SERVER), 100);
    followers.shift();
    nowMs += 2_000;
    for (let n = 0; n < 2; n++) runRound();
    assert.equal(followers[0]?.loads.work(SERVER), 0);
  });

  it("should send sessions known to other relays to followers", () => {
    const session = sharedSession();
    followers[0]?.note(session);
    runRound();
    assert.equal(followers[1]?.sessions.releaseOf(session, nowMs), NEW);
  });

  // Guards against requests of one session running on both releases, which occurred in a fleet of
  // 195 VMs: a session that reached the second relay after 1.5 s was not sent to its followers.
  it("should send sessions to followers that arrive over the slowest path", () => {
    const [first, second] = relays as [Vm, Vm];
    const [sender, receiver] = followers as [Vm, Vm];
    const session = sharedSession();
    sender.note(session);
    nowMs += 800;
    sender.exchangeWith(first);
    receiver.exchangeWith(second);
    nowMs += 800;
    receiver.exchangeWith(second);
    nowMs += 400;
    first.exchangeWith(second);
    nowMs += 400;
    receiver.exchangeWith(second);
    assert.equal(receiver.sessions.releaseOf(session, nowMs), NEW);
  });
});

describe("digests with crashes", () => {
  const request = "poison" as RequestKey;

  function crash(n: number): Crash {
    return {
      request,
      parts: [],
      account: undefined,
      life: `i-${n}` as ServerIncarnation,
      address: `10.0.0.${n}:1`,
      after: Array.from(
        { length: n - 1 },
        (_, at) => `i-${at + 1}` as ServerIncarnation,
      ),
      beganMs: nowMs - 10,
      endedMs: nowMs,
      serviceSize: 8,
    };
  }

  function isCulprit({ culprits }: CrashHistory): boolean {
    return culprits.some(({ keys }) => keys.has(request));
  }

  function recordThreeCrashes(vm: Vm | undefined): void {
    for (const n of [1, 2, 3]) vm?.crashes.recordCrash(crash(n), nowMs);
  }

  it("should send crashes to all VMs through relays", () => {
    recordThreeCrashes(followers[0]);
    for (let n = 0; n < 2; n++) runRound();
    const all = [...relays, ...followers];
    assert.deepEqual(
      all.map(({ crashes }) => isCulprit(crashes)),
      all.map(() => true),
    );
  });

  it("should send crashes of any age to a VM that starts", () => {
    recordThreeCrashes(followers[0]);
    runRound();
    nowMs += 60_000;
    const started = new Vm("vm-9", { relay: false });
    started.exchangeWith(relays[0] as Vm);
    assert.ok(isCulprit(started.crashes));
  });

  it("should send crashes to a VM that was frozen while the others received them", () => {
    runRound();
    const frozen = followers.pop();
    recordThreeCrashes(followers[0]);
    for (let n = 0; n < 10; n++) {
      nowMs += 1_000;
      runRound();
    }
    frozen?.exchangeWith(relays[0] as Vm);
    assert.ok(frozen !== undefined && isCulprit(frozen.crashes));
  });

  // A digest that the receiver rejects is lost as a whole, so callers must not be able to cause it.
  it("should stay valid when one request has many parts and follows many crashes", () => {
    const sender = followers[0];
    for (let n = 1; n <= 150; n++) {
      const parts = Array.from({ length: 32 }, (_, at) => `${n}-${at}`);
      sender?.crashes.recordCrash({
        ...crash(1),
        parts: parts as PartKey[],
        after: [`i-${n}` as ServerIncarnation],
      }, nowMs);
    }
    assert.ok(digestRequestSchema.safeParse(sender?.createRequest()).success);
  });

  it("should report that a request has completed without a crash", () => {
    followers[0]?.crashes.recordCrash(crash(1), nowMs);
    runRound();
    nowMs += 500;
    followers[1]?.crashes.recordSuccess({ request, atMs: nowMs }, nowMs);
    for (let n = 0; n < 2; n++) runRound();
    assert.equal(followers[0]?.crashes.crashesOf(request).length, 0);
  });
});

describe("digests with draining servers", () => {
  const server = serverRecord(SERVER, { service: SERVICE, bornMs: 5 });

  it("should reach all VMs through relays, and VMs that start later", () => {
    const all = [...relays, ...followers];
    for (const vm of all) vm.directory.put(server);
    followers[0]?.directory.markLeaving(server);
    for (let n = 0; n < 2; n++) runRound();
    const late = new Vm("vm-late", { relay: false });
    late.directory.put(server);
    late.exchangeWith(relays[1] as Vm);
    for (const vm of [...all, late]) {
      assert.deepEqual(vm.directory.usable(SERVICE), []);
    }
  });

  it("should not affect the next incarnation, nor servers without a start time", () => {
    const [first, second] = followers;
    first?.directory.put(server);
    first?.directory.markLeaving(server);
    second?.directory.put({ ...server, bornMs: 6 });
    const withoutStartTime = serverRecord("i-2", { service: SERVICE });
    for (const vm of [first, second]) vm?.directory.put(withoutStartTime);
    first?.directory.markLeaving(withoutStartTime);
    for (let n = 0; n < 2; n++) runRound();
    assert.equal(second?.directory.usable(SERVICE).length, 2);
  });
});
