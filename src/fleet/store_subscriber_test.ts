import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import type { EntryId } from "../core/ids.ts";
import type { Member } from "../core/membership/member.ts";
import { fail, ok } from "../core/result.ts";
import type { FeedAnswer, FeedQuestion } from "../protocol/store_schema.ts";
import { SilentLogger } from "../runtime/logger.ts";
import { SuspendAwareClock } from "../runtime/suspend_aware_clock.ts";
import type { RoutingFollower } from "../store/routing_follower.ts";
import type { StoreSync } from "../store/store_sync.ts";
import type { FleetRelayRole } from "./fleet_relay_role.ts";
import { StoreSubscriber } from "./store_subscriber.ts";
import type { VmClients } from "./vm_clients.ts";

const CLOCK = { monotonicMs: () => 5_000, wallMs: () => 0 };
const READER = { id: "vm-1" as EntryId, peers: "10.0.0.1:1" } as Member;
const ANSWER: FeedAnswer = {
  store: { reads: true, lost: false, inTouch: true, known: [], changes: [] },
  configurationVersion: 3,
  confirmedAgeMs: 20,
  heldMs: 900,
};

/** Answers to the questions to come; without one, the reader is silent. */
let answers: FeedAnswer[];
let asked: FeedQuestion[];
let confirmed: { version: number; atMs: number }[];
let heardReader: number[];
let lost: boolean[];
let readers: Member[];
let subscriber: StoreSubscriber;

beforeEach(() => {
  answers = [];
  asked = [];
  confirmed = [];
  heardReader = [];
  lost = [];
  readers = [READER];
  const feed = {
    mutate: (question: FeedQuestion) => {
      asked.push(question);
      return Promise.resolve(answers.shift());
    },
  };
  subscriber = new StoreSubscriber({
    relayRole: {
      readersToFollow: () => readers,
      heardReader: (atMs: number) => heardReader.push(atMs),
      heardStore: (_vm: EntryId, told: { lost: boolean }) =>
        lost.push(told.lost),
    } as unknown as FleetRelayRole,
    storeSync: { known: () => [], hear: () => true } as unknown as StoreSync,
    routingFollower: {
      hearConfirmation: (told: { version: number; atMs: number }) =>
        confirmed.push(told),
    } as unknown as RoutingFollower,
    vmClients: {
      call: async (
        _address: string,
        { ask }: {
          ask: (client: unknown, signal: unknown) => Promise<unknown>;
        },
      ) => {
        try {
          return ok(await ask({ feed }, undefined));
        } catch (err) {
          return fail({ tag: "unreachable", reason: String(err) });
        }
      },
    } as unknown as VmClients,
    clock: CLOCK,
    suspendAwareClock: new SuspendAwareClock({ clock: CLOCK }),
    logger: new SilentLogger(),
  });
});

afterEach(() => subscriber.stop());

/** Lets the subscriber ask until all answers are used up and it was met with silence. */
async function untilSilent(): Promise<void> {
  const questions = answers.length + 1;
  subscriber.update();
  while (asked.length < questions) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  readers = [];
}

describe("subscriber of the store's news", () => {
  it("should ask at once what a reader knows, and then wait for news", async () => {
    answers = [ANSWER, ANSWER];
    await untilSilent();
    const [first, ...later] = asked.map(({ waitMs }) => waitMs);
    assert.equal(first, 0);
    assert.ok(later.every((waitMs) => waitMs > 1_000));
  });

  it("should date a confirmation by how long the question was held", async () => {
    answers = [ANSWER];
    await untilSilent();
    const atMs = 5_000 + 900 - 20;
    assert.deepEqual(confirmed, [{ version: 3, atMs }]);
    assert.deepEqual(heardReader, [atMs]);
  });

  it("should not take a VM for a reader that does not read, or whose store is lost", async () => {
    const store = { ...ANSWER.store, reads: false, lost: true };
    answers = [{ ...ANSWER, store }];
    await untilSilent();
    assert.deepEqual(heardReader, []);
    assert.deepEqual(lost, [true]);
  });

  it("should keep one question at a reader, however often it is told of it", async () => {
    answers = [ANSWER];
    const told = untilSilent();
    subscriber.update();
    subscriber.update();
    await told;
    assert.equal(asked.length, 2);
  });
});
