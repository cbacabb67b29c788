/**
 * Many VMs send to a server that advertises a request rate limit across all of them. Guards against
 * a server with a limit of 1.3 requests per second getting 15 requests in 4 s, of 13 allowed. Covers
 * fleets of 1 to 195 VMs with differing membership views, and how far the limit is used.
 */

import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import {
  allowedInWindow,
  maxInWindow,
} from "../../../tests/fixtures/limit_count.ts";
import { seededChance } from "../../../tests/fixtures/seeded_chance.ts";
import { serverRecord } from "../../../tests/fixtures/server_record.ts";
import { testMember } from "../../../tests/fixtures/test_member.ts";
import { unitHash } from "../../runtime/hashing.ts";
import type { EntryId } from "../ids.ts";
import type { Member } from "../membership/member.ts";
import { UnackedAttempts } from "../servers/unacked_attempts.ts";
import { ServerLimits } from "../servers/server_limits.ts";
import { LimitAdmission } from "./limit_admission.ts";

const FLEETS = [1, 7, 65, 195];
const LIMITS = [0, 0.4, 2, 20];
const SEEDS = [1, 2];
/** Long enough for VMs to own servers. */
const SETTLED_MS = 5_000;
const LOAD_MS = 12_000;
/** Time steps of the simulation for small and for large fleets. */
const FINE_STEP_MS = 10;
const STEP_MS = 40;
const SMALL_FLEET_VMS = 7;
const REPLACE_INTERVAL_MS = 500;
const IGNORED = { onAcked: () => {}, onSettled: () => {} };
const SERVER = serverRecord("i-1", { bornMs: 5 });

let nowMs: number;
const clock = { monotonicMs: () => nowMs };

beforeEach(() => {
  nowMs = 0;
});

function member(at: number): Member {
  return testMember(`edge-${at}`);
}

/** A VM with its view of the fleet, which may change. */
class Vm {
  readonly limits = new ServerLimits();
  readonly unacked = new UnackedAttempts();
  readonly admission: LimitAdmission;
  known: readonly Member[];
  readonly self: Member;

  constructor(self: Member, fleet: readonly Member[]) {
    this.self = self;
    this.known = fleet;
    this.admission = new LimitAdmission({
      serverLimits: this.limits,
      unackedAttempts: this.unacked,
      memberTable: {
        self,
        others: () => this.known.filter(({ id }) => id !== self.id),
      },
      unitHash,
      clock,
    });
  }

  get id(): EntryId {
    return this.self.id;
  }

  /** Asks owners for a permit until one grants it. */
  borrow(others: ReadonlyMap<EntryId, Vm>): void {
    for (const owner of this.admission.ownersToAsk(SERVER)) {
      const answer = others.get(owner)?.admission.tryGrant(SERVER);
      if (answer === undefined) continue;
      this.admission.recordAnswer(SERVER, { owner, ...answer });
      if (answer.granted) return;
    }
  }

  receiveLimit(limitPerS: number | undefined): void {
    this.limits.receive({ life: SERVER, limitPerS, atMs: nowMs });
  }

  /** Sends a request if a permit is available; returns whether it did. */
  send(): boolean {
    if (!this.admission.canAcquire(SERVER)) return false;
    return this.admission.reserve(SERVER).tryAcquire();
  }
}

/** A server that does not read requests while it is stopped. */
class StoppableServer {
  readonly arrivedMs: number[] = [];
  readonly #stop: { readonly fromMs: number; readonly untilMs: number };
  #unread: (() => void)[] = [];

  constructor(stop: { readonly fromMs: number; readonly untilMs: number }) {
    this.#stop = stop;
  }

  /** Receives a request that a VM sends now. */
  receive({ unacked }: Vm): void {
    const sentMs = nowMs;
    unacked.recordSent(SERVER, { nowMs, listener: IGNORED });
    this.#unread.push(() => {
      this.arrivedMs.push(nowMs);
      unacked.recordAnswer(SERVER, sentMs);
    });
    this.readPending();
  }

  /** Reads all pending requests unless the server is stopped now. */
  readPending(): void {
    const { fromMs, untilMs } = this.#stop;
    if (nowMs >= fromMs && nowMs < untilMs) return;
    for (const read of this.#unread.splice(0)) read();
  }
}

function fleetOf(count: number): Vm[] {
  const members = Array.from({ length: count }, (_, at) => member(at));
  return members.map((self) => new Vm(self, members));
}

/**
 * Gives all VMs a limit and lets them send as many requests as they may for `forMs`. Returns the
 * times at which requests were sent.
 */
function applyLoad(
  vms: readonly Vm[],
  {
    limitPerS,
    chance,
    forMs = LOAD_MS,
    onStep = () => {},
    onSent = () => {},
  }: {
    limitPerS: number;
    chance: () => number;
    forMs?: number;
    onStep?: () => void;
    onSent?: (vm: Vm) => void;
  },
): number[] {
  for (const vm of vms) vm.receiveLimit(limitPerS);
  const sentMs: number[] = [];
  const endMs = nowMs + forMs;
  const stepMs = vms.length <= SMALL_FLEET_VMS ? FINE_STEP_MS : STEP_MS;
  for (; nowMs < endMs; nowMs += stepMs) {
    onStep();
    const first = Math.floor(chance() * vms.length);
    for (const offset of vms.keys()) {
      const vm = vms[(first + offset) % vms.length];
      while (vm?.send()) {
        sentMs.push(nowMs);
        onSent(vm);
      }
    }
  }
  return sentMs;
}

describe("admission to rate-limited servers", () => {
  for (const count of FLEETS) {
    it(`should bound what ${count} VMs send in any four seconds, and use the limit`, () => {
      for (const limitPerS of LIMITS) {
        nowMs = 0;
        const vms = fleetOf(count);
        nowMs = SETTLED_MS;
        const chance = seededChance(count);
        const sentMs = applyLoad(vms, { limitPerS, chance, forMs: 30_000 });
        const most = maxInWindow(sentMs);
        assert.ok(most <= allowedInWindow(limitPerS), `${limitPerS}: ${most}`);
        // Each owner gets its first permit after a full interval.
        const limit = limitPerS * 30;
        assert.ok(
          sentMs.length >= 0.9 * limit - limitPerS - 2,
          `${limitPerS}: ${sentMs.length} of ${limit} used`,
        );
      }
    });

    it(`should stay within the bound if each of ${count} VMs does not know a tenth of the others`, () => {
      for (const limitPerS of LIMITS) {
        for (const seed of SEEDS) {
          nowMs = 0;
          const chance = seededChance(seed);
          const vms = fleetOf(count);
          for (const vm of vms) {
            vm.known = vm.known.filter(() => chance() > 0.1);
          }
          nowMs = SETTLED_MS;
          const most = maxInWindow(applyLoad(vms, { limitPerS, chance }));
          const allowed = allowedInWindow(limitPerS);
          assert.ok(most <= allowed, `${limitPerS}, seed ${seed}: ${most}`);
        }
      }
    });
  }

  it("should bound what a server that was stopped reads in any four seconds", () => {
    for (const count of FLEETS) {
      for (const limitPerS of LIMITS) {
        for (const stopMs of [6_000, 30_000]) {
          nowMs = 0;
          const vms = fleetOf(count);
          const fromMs = 3 * SETTLED_MS;
          const server = new StoppableServer({
            fromMs,
            untilMs: fromMs + stopMs,
          });
          nowMs = SETTLED_MS;
          applyLoad(vms, {
            limitPerS,
            chance: seededChance(count),
            forMs: 20_000 + stopMs,
            onStep: () => server.readPending(),
            onSent: (vm) => server.receive(vm),
          });
          const most = maxInWindow(server.arrivedMs);
          const allowed = allowedInWindow(limitPerS);
          const label = `${count} VMs, ${limitPerS} a second, ${stopMs} ms`;
          assert.ok(most <= allowed, `${label}: ${most} of ${allowed}`);
        }
      }
    }
  });

  it("should let one VM use most of the limit by borrowing from owners", () => {
    for (const count of [7, 65, 195]) {
      nowMs = 0;
      const vms = fleetOf(count);
      const byId = new Map(vms.map((vm) => [vm.id, vm]));
      nowMs = SETTLED_MS;
      const borrower = vms[0] as Vm;
      const sentMs = applyLoad([borrower], {
        limitPerS: 2,
        chance: seededChance(1),
        forMs: 30_000,
        onStep: () => {
          for (const vm of vms) vm.receiveLimit(2);
          borrower.borrow(byId);
        },
      });
      const most = maxInWindow(sentMs);
      assert.ok(most <= allowedInWindow(2), `${count}: ${most}`);
      assert.ok(sentMs.length >= 50, `${count}: ${sentMs.length} of 60 used`);
    }
  });

  it("should bound what all VMs send while they borrow from each other", () => {
    for (const count of [7, 65]) {
      nowMs = 0;
      const vms = fleetOf(count);
      const byId = new Map(vms.map((vm) => [vm.id, vm]));
      nowMs = SETTLED_MS;
      const chance = seededChance(2);
      const onStep = () => {
        for (const vm of vms) if (chance() < 0.2) vm.borrow(byId);
      };
      const sentMs = applyLoad(vms, {
        limitPerS: 2,
        chance,
        forMs: 20_000,
        onStep,
      });
      const most = maxInWindow(sentMs);
      assert.ok(most <= allowedInWindow(2), `${count}: ${most}`);
    }
  });

  it("should let a VM with load use the limit after all VMs have competed for it", () => {
    // Guards against a VM that gets no permit for eight seconds after 65 VMs have waited for one.
    // Owners gave each VM a later turn than the one before, up to ten seconds ahead, and VMs whose
    // callers had disconnected did not use their turns.
    for (const count of [7, 65, 195]) {
      nowMs = 0;
      const vms = fleetOf(count);
      const byId = new Map(vms.map((vm) => [vm.id, vm]));
      nowMs = SETTLED_MS;
      const chance = seededChance(4);
      const receiveLimits = () => {
        for (const vm of vms) vm.receiveLimit(2);
      };
      applyLoad(vms, {
        limitPerS: 2,
        chance,
        onStep: () => {
          for (const vm of vms) if (chance() < 0.2) vm.borrow(byId);
        },
      });
      for (const alone of vms.slice(0, 3)) {
        const sentMs = applyLoad([alone], {
          limitPerS: 2,
          chance,
          forMs: 8_000,
          onStep: () => {
            receiveLimits();
            alone.borrow(byId);
          },
        });
        assert.ok(sentMs.length >= 8, `${count}: ${sentMs.length} of 16 used`);
      }
    }
  });

  it("should refuse a permit if the owner has none left, and report when to retry", () => {
    const [vm] = fleetOf(1);
    nowMs = SETTLED_MS;
    vm?.receiveLimit(1);
    const first = vm?.admission.tryGrant(SERVER);
    const second = vm?.admission.tryGrant(SERVER);
    // A later caller gets a later time, since the first one has its turn before.
    assert.deepEqual([first?.granted, second?.granted], [false, false]);
    assert.ok((second?.opensInMs ?? 0) >= (first?.opensInMs ?? 0) + 1_000);
    nowMs += first?.opensInMs ?? 0;
    assert.equal(vm?.admission.tryGrant(SERVER).granted, true);
    assert.equal(vm?.admission.canAcquire(SERVER), false);
  });

  it("should not use a borrowed permit after it has expired", () => {
    const [vm] = fleetOf(7);
    nowMs = SETTLED_MS;
    vm?.receiveLimit(1);
    const owner = "edge-6" as EntryId;
    vm?.admission.recordAnswer(SERVER, { owner, granted: true, opensInMs: 0 });
    assert.equal(vm?.admission.canAcquire(SERVER), true);
    nowMs += 300;
    assert.equal(vm?.send(), false);
  });

  it("should return an unused reservation, and not count a refused request", () => {
    const [vm] = fleetOf(1);
    nowMs = SETTLED_MS;
    vm?.receiveLimit(1);
    assert.equal(vm?.send(), false);
    nowMs += 1_000;
    const reservation = vm?.admission.reserve(SERVER);
    assert.equal(vm?.admission.canAcquire(SERVER), false);
    reservation?.release();
    reservation?.release();
    assert.equal(vm?.send(), true);
    assert.equal(vm?.send(), false);
  });

  it("should start with an empty bucket when a limit is advertised again", () => {
    const [vm] = fleetOf(1);
    nowMs = SETTLED_MS;
    vm?.receiveLimit(1);
    assert.equal(vm?.send(), false);
    nowMs += 1_000;
    vm?.limits.receiveNoLimit(SERVER, nowMs);
    assert.equal(vm?.admission.canAcquire(SERVER), true);
    nowMs += 5_000;
    vm?.receiveLimit(1);
    assert.equal(vm?.send(), false);
  });

  for (const count of [7, 65, 195]) {
    it(`should stay within the bound if one of ${count} VMs is replaced each half second`, () => {
      for (const limitPerS of [0.4, 2, 20]) {
        nowMs = 0;
        const chance = seededChance(count);
        const vms = fleetOf(count);
        nowMs = SETTLED_MS;
        const onStep = replacePeriodically(vms, { limitPerS, chance });
        const sentMs = applyLoad(vms, { limitPerS, chance, onStep });
        const most = maxInWindow(sentMs);
        const allowed = allowedInWindow(limitPerS);
        assert.ok(most <= allowed, `${limitPerS}: ${most}`);
      }
    });
  }
});

/** Replaces VMs by new ones that know the whole fleet; half of the others learn of each change. */
function replacePeriodically(
  vms: Vm[],
  { limitPerS, chance }: { limitPerS: number; chance: () => number },
): () => void {
  let next = vms.length;
  let replacedMs = nowMs;
  return () => {
    if (nowMs - replacedMs < REPLACE_INTERVAL_MS) return;
    replacedMs = nowMs;
    vms.splice(Math.floor(chance() * vms.length), 1);
    const self = member(next++);
    const newcomer = new Vm(self, [...vms.map((vm) => vm.self), self]);
    newcomer.receiveLimit(limitPerS);
    vms.push(newcomer);
    const fleet = vms.map((vm) => vm.self);
    for (const vm of vms) {
      if (chance() < 0.5) vm.known = fleet;
    }
  };
}
