import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { testMember } from "../../tests/fixtures/test_member.ts";
import type {
  InstanceId,
  PromptPartId,
  ReleaseId,
  RequestKey,
  RouteId,
  ServerLife,
  ServiceId,
} from "../core/ids.ts";
import type { Crash } from "../core/crashes/crash.ts";
import { CrashBook } from "../core/crashes/crash_book.ts";
import { MemberTable } from "../core/membership/member_table.ts";
import { EvidenceBook } from "../core/rollout/evidence.ts";
import { ReleaseGate } from "../core/rollout/release_gate.ts";
import { SessionBook } from "../core/rollout/session_book.ts";
import { sessionPoint, TOLD_SHARE } from "../core/rollout/session_point.ts";
import { PromptHolders } from "../core/routing/prompt_holders.ts";
import { ServerDirectory } from "../core/servers/server_directory.ts";
import { ServerLimits } from "../core/servers/server_limits.ts";
import { ServerLoads } from "../core/servers/server_loads.ts";
import { serverRecord } from "../../tests/fixtures/server_record.ts";
import { unitHash } from "../runtime/hashing.ts";
import { SilentLogger } from "../runtime/logger.ts";
import type { RoutingFollower } from "../store/routing_follower.ts";
import type { StoreSync } from "../store/store_sync.ts";
import { CrashNews } from "./crash_news.ts";
import { DigestKeeper } from "./digest_keeper.ts";
import { LimitNews } from "./limit_news.ts";
import type { FleetRelayRole } from "./fleet_relay_role.ts";

const SERVER = "i-1" as InstanceId;
const SERVICE = "model" as ServiceId;
const NEW = "v2" as ReleaseId;
const ROUTE = "r-1" as RouteId;
const GAP_MS = 5_000;

/** Time of all VMs. */
let nowMs = 0;

/** The parts of one VM that a digest is made from. */
class Vm {
  readonly loads = new ServerLoads();
  readonly directory = new ServerDirectory();
  readonly limits = new ServerLimits();
  readonly holders = new PromptHolders();
  readonly crashes = new CrashBook();
  readonly evidence = new EvidenceBook();
  readonly sessions = new SessionBook(GAP_MS);
  readonly #keeper: DigestKeeper;

  constructor(id: string, { relay }: { relay: boolean }) {
    const releaseGate = new ReleaseGate();
    releaseGate.setOrder({
      service: SERVICE,
      release: NEW,
      limitMs: 10_000,
      state: undefined,
      stateRelease: undefined,
    });
    this.#keeper = new DigestKeeper({
      memberTable: new MemberTable(testMember(id)),
      serverLoads: this.loads,
      promptHolders: this.holders,
      crashNews: new CrashNews({
        crashBook: this.crashes,
        clock: { wallMs: () => nowMs, monotonicMs: () => nowMs },
        logger: new SilentLogger(),
      }),
      limitNews: new LimitNews({
        serverLimits: this.limits,
        clock: { wallMs: () => nowMs, monotonicMs: () => nowMs },
        logger: new SilentLogger(),
      }),
      serverFollower: {
        leaves: (life) => void this.directory.leaves(life),
        leavingLives: () => this.directory.leavingLives(),
      },
      evidenceBook: this.evidence,
      sessionBook: this.sessions,
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
      relayRole: {
        held: relay,
        heardStore: () => {},
      } as unknown as FleetRelayRole,
      unitHash,
      clock: { monotonicMs: () => nowMs, wallMs: () => 1 },
      logger: new SilentLogger(),
    });
  }

  /** Asks another VM, as in one round, and both add up what they know. */
  ask(other: Vm): void {
    const answer = other.#keeper.exchange(this.#keeper.question());
    this.#keeper.hearAnswer(answer, nowMs);
    this.#keeper.expire();
    other.#keeper.expire();
  }

  /** Serves a session by the release on trial. */
  note(session: PromptPartId): void {
    const times = { seenMs: nowMs, learntMs: nowMs };
    this.sessions.note({ session, release: NEW, ...times, here: true });
  }

  /** Counts a failed answer of the release on trial. */
  fail(): void {
    this.evidence.observe({
      service: SERVICE,
      release: NEW,
      route: ROUTE,
      failed: true,
      firstByteMs: 100,
    });
  }

  /** Failures of the release on trial, as seen from here. */
  get failures(): number {
    const rows = [...this.evidence.total(SERVICE, NEW).values()];
    return rows.reduce((sum, { failures }) => sum + failures, 0);
  }
}

/** A session of those that VMs tell each other of. */
function toldSession(): PromptPartId {
  for (let n = 0;; n++) {
    const session = `part-${n}` as PromptPartId;
    if (sessionPoint(session, unitHash) < TOLD_SHARE) return session;
  }
}

let relays: Vm[];
let followers: Vm[];

/** Each follower asks its relay, and the relays ask each other. */
function round(): void {
  followers.forEach((vm, at) => vm.ask(relays[at % 2] as Vm));
  relays[0]?.ask(relays[1] as Vm);
  followers.forEach((vm, at) => vm.ask(relays[at % 2] as Vm));
}

beforeEach(() => {
  nowMs = 0;
  relays = [1, 2].map((n) => new Vm(`relay-${n}`, { relay: true }));
  followers = [1, 2, 3].map((n) => new Vm(`vm-${n}`, { relay: false }));
});

describe("digests between followers and relays", () => {
  it("should count the work of each VM once, however often it is told", () => {
    const all = [...relays, ...followers];
    for (const vm of all) vm.loads.begin(SERVER, 100);
    for (let n = 0; n < 3; n++) round();
    assert.deepEqual(
      all.map(({ loads }) => loads.work(SERVER)),
      all.map(() => 100 * all.length),
    );
  });

  it("should count evidence once, also after a follower has changed its relay", () => {
    for (const vm of followers) vm.fail();
    for (let n = 0; n < 3; n++) round();
    assert.deepEqual(followers.map(({ failures }) => failures), [3, 3, 3]);
    nowMs += 2_000;
    // Each of the others now asks the relay that it did not ask before.
    followers.unshift(new Vm("vm-4", { relay: false }));
    for (let n = 0; n < 3; n++) round();
    assert.deepEqual(followers.map(({ failures }) => failures), [3, 3, 3, 3]);
  });

  it("should bring limits of servers to all VMs, and their ends", () => {
    const server = serverRecord(SERVER, { bornMs: 5 });
    const all = [...relays, ...followers];
    const limits = () => all.map((vm) => vm.limits.of(server));
    const notice = { life: server, limitPerS: 1.5, atMs: nowMs };
    followers[0]?.limits.hear(notice);
    for (let n = 0; n < 3; n++) round();
    assert.deepEqual(limits(), all.map(() => 1.5));
    nowMs += 100;
    followers[1]?.limits.namesNone(server, nowMs);
    for (let n = 0; n < 3; n++) round();
    assert.deepEqual(limits(), all.map(() => undefined));
  });

  it("should forget the work of a VM that tells no more", () => {
    followers[0]?.loads.begin(SERVER, 100);
    round();
    assert.equal(followers[1]?.loads.work(SERVER), 100);
    followers.shift();
    nowMs += 2_000;
    for (let n = 0; n < 2; n++) round();
    assert.equal(followers[0]?.loads.work(SERVER), 0);
  });

  it("should tell followers of sessions at other relays", () => {
    const session = toldSession();
    followers[0]?.note(session);
    round();
    assert.equal(followers[1]?.sessions.releaseOf(session, nowMs), NEW);
  });

  // In a fleet of 195 VMs requests of a session ran on both releases: what had come to the
  // second relay after 1.5 s was told to none of the VMs that follow it.
  it("should tell followers of sessions that come over the slowest hops", () => {
    const [first, second] = relays as [Vm, Vm];
    const [teller, hearer] = followers as [Vm, Vm];
    const session = toldSession();
    teller.note(session);
    nowMs += 800;
    teller.ask(first);
    hearer.ask(second);
    nowMs += 800;
    hearer.ask(second);
    nowMs += 400;
    first.ask(second);
    nowMs += 400;
    hearer.ask(second);
    assert.equal(hearer.sessions.releaseOf(session, nowMs), NEW);
  });
});

describe("digests that tell of crashes", () => {
  const request = "poison" as RequestKey;

  function crash(n: number): Crash {
    return {
      request,
      account: undefined,
      life: `i-${n}` as ServerLife,
      address: `10.0.0.${n}:1`,
      after: Array.from(
        { length: n - 1 },
        (_, at) => `i-${at + 1}` as ServerLife,
      ),
      beganMs: nowMs - 10,
      endedMs: nowMs,
      serviceSize: 8,
    };
  }

  function endThree(vm: Vm | undefined): void {
    for (const n of [1, 2, 3]) vm?.crashes.note(crash(n), nowMs);
  }

  it("should tell all VMs, over relays", () => {
    endThree(followers[0]);
    for (let n = 0; n < 2; n++) round();
    const all = [...relays, ...followers];
    assert.deepEqual(
      all.map(({ crashes }) => crashes.poison.has(request)),
      all.map(() => true),
    );
  });

  it("should tell a VM that starts, however long ago it was", () => {
    endThree(followers[0]);
    round();
    nowMs += 60_000;
    const started = new Vm("vm-9", { relay: false });
    started.ask(relays[0] as Vm);
    assert.ok(started.crashes.poison.has(request));
  });

  it("should tell a VM that was frozen while others heard of it", () => {
    round();
    const frozen = followers.pop();
    endThree(followers[0]);
    for (let n = 0; n < 10; n++) {
      nowMs += 1_000;
      round();
    }
    frozen?.ask(relays[0] as Vm);
    assert.ok(frozen?.crashes.poison.has(request));
  });

  it("should tell that a request has ended well", () => {
    followers[0]?.crashes.note(crash(1), nowMs);
    round();
    nowMs += 500;
    followers[1]?.crashes.noteGoodEnd({ request, atMs: nowMs }, nowMs);
    for (let n = 0; n < 2; n++) round();
    assert.equal(followers[0]?.crashes.crashesOf(request).length, 0);
  });
});

describe("digests that tell of servers that leave", () => {
  const server = serverRecord(SERVER, { service: SERVICE, bornMs: 5 });

  it("should reach all VMs, over relays, and VMs that start later", () => {
    const all = [...relays, ...followers];
    for (const vm of all) vm.directory.put(server);
    followers[0]?.directory.leaves(server);
    for (let n = 0; n < 2; n++) round();
    const late = new Vm("vm-late", { relay: false });
    late.directory.put(server);
    late.ask(relays[1] as Vm);
    for (const vm of [...all, late]) {
      assert.deepEqual(vm.directory.usable(SERVICE), []);
    }
  });

  it("should say nothing of the next life, nor of one without a birth", () => {
    const [first, second] = followers;
    first?.directory.put(server);
    first?.directory.leaves(server);
    second?.directory.put({ ...server, bornMs: 6 });
    const unborn = serverRecord("i-2", { service: SERVICE });
    for (const vm of [first, second]) vm?.directory.put(unborn);
    first?.directory.leaves(unborn);
    for (let n = 0; n < 2; n++) round();
    assert.equal(second?.directory.usable(SERVICE).length, 2);
  });
});
