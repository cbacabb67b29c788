/**
 * VMs borrow permits for a rate-limited server from each other over a network that delays and loses
 * messages. The requests sent in any four seconds must stay within the allowed bound and use a good
 * part of the limit.
 */

import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import {
  allowedInWindow,
  maxInWindow,
} from "../../../tests/fixtures/limit_count.ts";
import { seededChance } from "../../../tests/fixtures/seeded_chance.ts";
import { serverRecord } from "../../../tests/fixtures/server_record.ts";
import { testMember } from "../../../tests/fixtures/test_member.ts";
import { unitHash } from "../../runtime/hashing.ts";
import type { EntryId } from "../ids.ts";
import { UnackedAttempts } from "../servers/unacked_attempts.ts";
import { ServerLimits } from "../servers/server_limits.ts";
import { type GrantAnswer, LimitAdmission } from "./limit_admission.ts";

const SERVER = serverRecord("i-1", { bornMs: 5 });
const STEP_MS = 20;
/** Long enough for VMs to own servers. */
const SETTLED_MS = 5_000;
const LOAD_MS = 14_000;
/** Highest limit per VM, in requests per second, for which half of it must be used. */
const MAX_LIMIT_PER_VM = 4;
/** Time-out of a VM that waits for the answer of an owner. */
const ANSWER_TIMEOUT_MS = 150;

interface Scenario {
  readonly vms: number;
  readonly limitPerS: number;
  readonly seed: number;
  /** Fraction of permit requests and answers that are lost. */
  readonly lossRate: number;
  /** Maximum transit time of a permit request or an answer. */
  readonly maxDelayMs: number;
  /** Fraction of the VMs that get requests from callers. */
  readonly busyFraction: number;
}

interface Message {
  readonly atMs: number;
  readonly deliver: () => void;
}

/** A fleet that sends to one server, with messages in transit. */
class Fleet {
  nowMs = 0;
  readonly sentMs: number[] = [];
  readonly #scenario: Scenario;
  readonly #chance: () => number;
  readonly #vms = new Map<EntryId, LimitAdmission>();
  readonly #limits: ServerLimits[] = [];
  readonly #asking = new Set<string>();
  #messages: Message[] = [];

  constructor(scenario: Scenario) {
    this.#scenario = scenario;
    this.#chance = seededChance(scenario.seed);
    const members = Array.from(
      { length: scenario.vms },
      (_, at) => testMember(`edge-${at}`),
    );
    for (const self of members) {
      const serverLimits = new ServerLimits();
      this.#limits.push(serverLimits);
      const memberTable = {
        self,
        others: () => members.filter(({ id }) => id !== self.id),
      };
      const clock = { monotonicMs: () => this.nowMs };
      this.#vms.set(
        self.id,
        new LimitAdmission({
          serverLimits,
          unackedAttempts: new UnackedAttempts(),
          memberTable,
          unitHash,
          clock,
        }),
      );
    }
    this.nowMs = SETTLED_MS;
  }

  /** Applies load to the busy VMs for `LOAD_MS`. */
  applyLoad(): void {
    const { limitPerS, busyFraction } = this.#scenario;
    const endMs = this.nowMs + LOAD_MS;
    for (const limits of this.#limits) {
      limits.receive({ life: SERVER, limitPerS, atMs: this.nowMs });
    }
    const busyVms = [...this.#vms].slice(
      0,
      Math.ceil(busyFraction * this.#vms.size),
    );
    for (; this.nowMs < endMs; this.nowMs += STEP_MS) {
      const due = this.#messages.filter(({ atMs }) => atMs <= this.nowMs);
      this.#messages = this.#messages.filter(({ atMs }) => atMs > this.nowMs);
      for (const { deliver } of due) deliver();
      for (const [id, vm] of busyVms) {
        while (vm.canAcquire(SERVER) && vm.reserve(SERVER).tryAcquire()) {
          this.sentMs.push(this.nowMs);
        }
        this.#ask(id, vm);
      }
    }
  }

  #ask(id: EntryId, vm: LimitAdmission): void {
    for (const owner of vm.ownersToAsk(SERVER)) {
      const key = `${id}/${owner}`;
      if (this.#asking.has(key)) continue;
      this.#asking.add(key);
      const untilMs = this.nowMs + ANSWER_TIMEOUT_MS;
      const record = (answer: GrantAnswer) => {
        if (!this.#asking.delete(key)) return;
        vm.recordAnswer(SERVER, { owner, ...answer });
      };
      this.#send(() => {
        const answer = this.#vms.get(owner)?.tryGrant(SERVER);
        if (answer !== undefined) {
          this.#send(() => {
            if (this.nowMs <= untilMs) record(answer);
          });
        }
      });
      this.#messages.push({
        atMs: untilMs,
        deliver: () => record({ granted: false, opensInMs: 1_000 }),
      });
    }
  }

  #send(deliver: () => void): void {
    if (this.#chance() < this.#scenario.lossRate) return;
    const atMs = this.nowMs + this.#chance() * this.#scenario.maxDelayMs;
    this.#messages.push({ atMs, deliver });
  }
}

const SCENARIOS = fc.record({
  vms: fc.integer({ min: 1, max: 24 }),
  limitPerS: fc.oneof(
    fc.constantFrom(0, 0.1, 1, 2, 3),
    fc.double({ min: 0.1, max: 30, noNaN: true }),
  ),
  seed: fc.integer({ min: 1, max: 1_000_000 }),
  lossRate: fc.constantFrom(0, 0.05, 0.5),
  maxDelayMs: fc.constantFrom(0, 40, 140),
  busyFraction: fc.constantFrom(0.05, 0.5, 1),
});

describe("permits borrowed over a network that delays and loses messages", () => {
  it("should bound what all VMs send in any four seconds", () => {
    fc.assert(
      fc.property(SCENARIOS, (scenario) => {
        const fleet = new Fleet(scenario);
        fleet.applyLoad();
        const most = maxInWindow(fleet.sentMs);
        assert.ok(
          most <= allowedInWindow(scenario.limitPerS),
          `${most} in one span`,
        );
      }),
      { seed: 17, numRuns: 150 },
    );
  });

  it("should use at least half of the limit, whichever VMs have load", () => {
    fc.assert(
      fc.property(SCENARIOS, (scenario) => {
        // A permit whose answer arrives after the time-out is lost.
        fc.pre(2 * scenario.maxDelayMs < ANSWER_TIMEOUT_MS);
        fc.pre(scenario.limitPerS >= 1 && scenario.lossRate === 0);
        // If the limit far exceeds the burst of each VM, two VMs use less of it.
        fc.pre(scenario.limitPerS <= MAX_LIMIT_PER_VM * scenario.vms);
        const fleet = new Fleet(scenario);
        fleet.applyLoad();
        const limit = scenario.limitPerS * LOAD_MS / 1_000;
        assert.ok(
          fleet.sentMs.length >= limit / 2,
          `${fleet.sentMs.length} of ${limit} used`,
        );
      }),
      { seed: 19, numRuns: 150 },
    );
  });
});
