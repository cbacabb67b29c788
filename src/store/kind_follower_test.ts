/**
 * Guards against a kind that stands still, or is read without a pause, after the store was restored
 * from a copy: whether its watches are refused, go silent, or go on from revisions that were given
 * out again and lack what lies between.
 */

import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { fail, ok } from "../core/result.ts";
import type {
  ObjectStore,
  StoreAnswer,
  StoredObject,
} from "../platform/object_store.ts";
import type { Clock } from "../runtime/clock.ts";
import { SilentLogger } from "../runtime/logger.ts";
import { VersionedObjects } from "../standins/versioned_objects.ts";
import { createStoreEraMonitor } from "../../tests/fixtures/store_era.ts";
import { until } from "../../tests/fixtures/test_fleet.ts";
import { KindFollower } from "./kind_follower.ts";
import { MissedChangeDetector } from "./missed_change_detector.ts";
import { SeenRevisions } from "./seen_revisions.ts";
import { StoreHealthMonitor } from "./store_health_monitor.ts";

const KINDS = ["servers", "evacuations"];
const CLOCK = { monotonicMs: () => performance.now(), wallMs: () => 0 };
/** A list on which a change of the store is noticed, and one on which a watch is refused. */
const LISTS_PER_STEP = 2;

interface Watch {
  readonly kind: string;
  readonly revision: number;
  readonly signal: AbortSignal;
  readonly answer: (result: unknown) => void;
}

/** A store whose watches are answered only by the test. */
class ManualStore {
  readonly objects = new VersionedObjects();
  readonly #watches = new Set<Watch>();
  #onAnswer: (answer: StoreAnswer) => void = () => {};
  lists = 0;
  watches = 0;
  /** Whether each watch is refused, as if history was lost. */
  refusesWatches = false;

  asObjectStore(): ObjectStore {
    return {
      onAnswer: (listener: (answer: StoreAnswer) => void) =>
        this.#onAnswer = listener,
      list: (kind: string) => {
        this.lists += 1;
        const { era, revision } = this.objects;
        this.reveal();
        const objects = this.objects.list(kind);
        return Promise.resolve(ok({ objects, era, revision }));
      },
      watch: (
        kind: string,
        { revision, signal }: { revision: number; signal: AbortSignal },
      ) => {
        this.watches += 1;
        if (this.refusesWatches) {
          this.reveal();
          return Promise.resolve(fail({ tag: "history_lost" }));
        }
        return new Promise((answer) => {
          const watch = { kind, revision, signal, answer };
          this.#watches.add(watch);
          signal.onabort = () => this.#end(watch, fail({ tag: "uncertain" }));
        });
      },
    } as unknown as ObjectStore;
  }

  isWatched(kind: string): boolean {
    return [...this.#watches].some((watch) => watch.kind === kind);
  }

  /** Some answer names the era. */
  reveal(): void {
    this.#onAnswer({ era: this.objects.era, outcome: "ok" });
  }

  /** Ends the watches: refused, or with the changes that the store has after their revisions. */
  async answerWatches(how: "refused" | "answered"): Promise<void> {
    for (const watch of [...this.#watches]) {
      const { kind, revision } = watch;
      const { era } = this.objects;
      if (how === "refused") {
        this.reveal();
        this.#end(watch, fail({ tag: "history_lost" }));
        continue;
      }
      const { events, revision: until } = await this.objects.waitFor(kind, {
        revision,
        waitMs: 0,
        isStalled: () => false,
        isClosed: () => false,
      });
      if (events.length === 0) continue;
      this.reveal();
      this.#end(watch, ok({ events, era, revision: until }));
    }
  }

  #end(watch: Watch, result: unknown): void {
    this.#watches.delete(watch);
    watch.answer(result);
  }
}

function follow(store: ManualStore, clock: Clock = CLOCK) {
  const logger = new SilentLogger();
  const objectStore = store.asObjectStore();
  const deps = {
    objectStore,
    storeHealth: new StoreHealthMonitor({ clock: CLOCK, logger }),
    storeEraMonitor: createStoreEraMonitor(objectStore),
    seenRevisions: new SeenRevisions(),
    clock,
    logger,
    chance: () => 0,
  };
  const statesByKind = new Map<string, Map<string, unknown>>();
  const followers = KINDS.map((kind) => {
    const states = new Map<string, unknown>();
    statesByKind.set(kind, states);
    const put = ({ name, spec }: StoredObject) => void states.set(name, spec);
    return new KindFollower(deps, {
      kind,
      normalize: (object) => object,
      listener: {
        listed: (objects) => objects.forEach(put),
        changed: put,
        deleted: ({ name }) => void states.delete(name),
      },
    });
  });
  const detector = new MissedChangeDetector({ clock: CLOCK, logger });
  detector.setFollowers(followers);
  const isUpToDate = () =>
    KINDS.every((kind) =>
      JSON.stringify([...statesByKind.get(kind) ?? []].sort()) ===
        JSON.stringify(
          store.objects.list(kind).map(({ name, spec }) => [name, spec]).sort(),
        )
    );
  return { followers, detector, isUpToDate };
}

/** Starts the followers on an empty store and waits until their watches are open. */
async function watchAll(
  store: ManualStore,
  followers: readonly KindFollower[],
): Promise<void> {
  const { era, revision } = store.objects;
  const empty = { whole: true, era, revision, objects: [], removed: [] };
  store.reveal();
  for (const follower of followers) {
    follower.receive({ kind: follower.kind, ...empty });
    follower.start();
  }
  await until(() =>
    Promise.resolve(KINDS.every((kind) => store.isWatched(kind)))
  );
}

const step = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      tag: fc.constant("change" as const),
      kind: fc.constantFrom(...KINDS),
      name: fc.constantFrom("a", "b"),
      deleted: fc.boolean(),
    }),
  },
  { weight: 1, arbitrary: fc.record({ tag: fc.constant("copy" as const) }) },
  { weight: 2, arbitrary: fc.record({ tag: fc.constant("restore" as const) }) },
  {
    weight: 2,
    arbitrary: fc.record({
      tag: fc.constant("watches" as const),
      how: fc.constantFrom("refused" as const, "answered" as const),
    }),
  },
);

// Guards against changes that are seen 2 s late, and lists of all kinds because of them, where a VM
// begins to follow a kind long after its start, as it does with trials.
describe("a kind that a VM begins to follow", () => {
  /** Event loop turns in which pending promises resolve, but no timer of a delay expires. */
  const TURNS = 5;

  async function isWatchedAfter(startedAgoMs: number): Promise<boolean> {
    let nowMs = 0;
    const store = new ManualStore();
    const clock = { monotonicMs: () => nowMs, wallMs: () => 0 };
    const { followers: [follower] } = follow(store, clock);
    assert.ok(follower !== undefined);
    follower.setAccess("listener");
    follower.start();
    nowMs += startedAgoMs;
    follower.setAccess("reader");
    for (let n = 0; n < TURNS; n++) await new Promise(setImmediate);
    const isWatched = store.isWatched(follower.kind);
    assert.equal(store.lists, 1);
    follower.stop();
    return isWatched;
  }

  it("should be watched at once if the VM has run for long", async () => {
    assert.ok(await isWatchedAfter(60_000));
  });

  it("should not be watched yet if the VM has just started", async () => {
    assert.ok(!await isWatchedAfter(0));
  });
});

describe("follower of a kind of a restored store", () => {
  it("should agree with the store after any history, with few calls", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(step, { minLength: 1, maxLength: 25 }),
        async (steps) => {
          const store = new ManualStore();
          const { objects } = store;
          const { followers, detector, isUpToDate } = follow(store);
          await watchAll(store, followers);
          let copy = objects.copy();
          let spec = 0;
          for (const taken of steps) {
            if (taken.tag === "copy") copy = objects.copy();
            if (taken.tag === "restore") objects.restore(copy);
            if (taken.tag === "watches") await store.answerWatches(taken.how);
            if (taken.tag !== "change") continue;
            const { kind, name, deleted } = taken;
            if (deleted) objects.remove(kind, name);
            else objects.put(kind, { name, spec: spec++ });
          }
          // Confirming reads of the configuration name the position of the store.
          const { era, revision } = objects;
          await until(async () => {
            store.reveal();
            await detector.check({ era, revision });
            return isUpToDate();
          });
          for (const follower of followers) follower.stop();
          const allowed = LISTS_PER_STEP * KINDS.length * (steps.length + 1);
          assert.ok(store.lists <= allowed, `${store.lists} of ${allowed}`);
        },
      ),
      { seed: 3, numRuns: 40 },
    );
  });

  // Without a pause, list and watch followed each other 1,452 times a second.
  it("should pause between lists if the store goes on to refuse watches", async () => {
    const store = new ManualStore();
    const { followers } = follow(store);
    await watchAll(store, followers);
    store.refusesWatches = true;
    await store.answerWatches("refused");
    await until(() => Promise.resolve(store.watches >= 4 * KINDS.length));
    const { lists } = store;
    await new Promise((resolve) => setTimeout(resolve, 500));
    assert.ok(store.lists - lists <= 2 * KINDS.length);
    for (const follower of followers) follower.stop();
  });
});
