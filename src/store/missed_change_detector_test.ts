/**
 * Watches deliver some changes and lose others, in any order. Whichever they lose, a read of the
 * store's revision must bring the cache of each kind up to date.
 */

import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { ok } from "../core/result.ts";
import type {
  ObjectStore,
  StoreChanges,
  StoredObject,
  StoreEvent,
} from "../platform/object_store.ts";
import { SilentLogger } from "../runtime/logger.ts";
import { KindFollower } from "./kind_follower.ts";
import { MissedChangeDetector } from "./missed_change_detector.ts";
import { SeenRevisions } from "./seen_revisions.ts";
import { createStoreEraMonitor } from "../../tests/fixtures/store_era.ts";
import { StoreHealthMonitor } from "./store_health_monitor.ts";
import { until } from "../../tests/fixtures/test_fleet.ts";

const KINDS = ["servers", "evacuations"];
const CLOCK = { monotonicMs: () => performance.now(), wallMs: () => 0 };

interface Change {
  readonly kind: string;
  readonly name: string;
  readonly deleted: boolean;
  /** What the watch of the kind does on the change. */
  readonly watch: "delivers it" | "returns without it" | "stalls";
}

/** A store whose watches deliver only the changes that a test chooses. */
class LossyStore {
  readonly #kinds = new Map<string, Map<string, StoredObject>>();
  readonly #watches = new Map<string, (changes: StoreChanges) => void>();
  revision = 0;
  lists = 0;

  asObjectStore(): ObjectStore {
    return {
      list: (kind: string) => {
        this.lists += 1;
        const objects = [...this.#objects(kind).values()];
        return Promise.resolve(
          ok({ objects, era: 0, revision: this.revision }),
        );
      },
      watch: (kind: string, { signal }: { signal: AbortSignal }) =>
        new Promise((resolve) => {
          const deliver = (changes: StoreChanges) => resolve(ok(changes));
          this.#watches.set(kind, deliver);
          signal.onabort = () => deliver({ events: [], era: 0, revision: 0 });
        }),
    } as unknown as ObjectStore;
  }

  namesOf(kind: string): string[] {
    return [...this.#objects(kind).keys()].sort();
  }

  isWatched(kind: string): boolean {
    return this.#watches.has(kind);
  }

  change({ kind, name, deleted, watch }: Change): void {
    this.revision += 1;
    const { revision } = this;
    const object = { name, revision, spec: {}, status: null };
    if (deleted) this.#objects(kind).delete(name);
    else this.#objects(kind).set(name, object);
    if (watch === "stalls") return;
    const events: StoreEvent[] = watch === "delivers it"
      ? [{ object, deleted }]
      : [];
    const deliver = this.#watches.get(kind);
    this.#watches.delete(kind);
    deliver?.({ events, era: 0, revision });
  }

  #objects(kind: string): Map<string, StoredObject> {
    const objects = this.#kinds.get(kind) ?? new Map<string, StoredObject>();
    this.#kinds.set(kind, objects);
    return objects;
  }
}

function followAll(store: LossyStore) {
  const seenRevisions = new SeenRevisions();
  const logger = new SilentLogger();
  const deps = {
    objectStore: store.asObjectStore(),
    storeHealth: new StoreHealthMonitor({ clock: CLOCK, logger }),
    storeEraMonitor: createStoreEraMonitor(),
    seenRevisions,
    clock: CLOCK,
    logger,
    chance: () => 0,
  };
  const namesByKind = new Map<string, Set<string>>();
  const followers = KINDS.map((kind) => {
    const names = new Set<string>();
    namesByKind.set(kind, names);
    const add = ({ name }: StoredObject) => void names.add(name);
    return new KindFollower(deps, {
      kind,
      normalize: (object) => object,
      listener: {
        listed: (objects) => objects.forEach(add),
        changed: add,
        deleted: ({ name }) => void names.delete(name),
      },
    });
  });
  const detector = new MissedChangeDetector({ clock: CLOCK, logger });
  detector.setFollowers(followers);
  return { followers, detector, namesByKind };
}

/** Starts the followers on an empty store and waits until their watches are open. */
async function watchAll(
  store: LossyStore,
  followers: readonly KindFollower[],
): Promise<void> {
  const emptyList = {
    whole: true,
    era: 0,
    revision: 0,
    objects: [],
    removed: [],
  };
  for (const follower of followers) {
    follower.receive({ kind: follower.kind, ...emptyList });
    follower.start();
  }
  const allWatched = () => KINDS.every((kind) => store.isWatched(kind));
  await until(() => Promise.resolve(allWatched()));
}

const changes = fc.array(
  fc.record({
    kind: fc.constantFrom(...KINDS),
    name: fc.constantFrom("a", "b", "c"),
    deleted: fc.boolean(),
    watch: fc.constantFrom(
      "delivers it" as const,
      "returns without it" as const,
      "stalls" as const,
    ),
  }),
  { minLength: 1, maxLength: 12 },
);

describe("detector of missed changes", () => {
  it("should bring each cache up to date, whichever changes the watches lose", async () => {
    await fc.assert(
      fc.asyncProperty(changes, async (sequence) => {
        const store = new LossyStore();
        const { followers, detector, namesByKind } = followAll(store);
        await watchAll(store, followers);
        for (const change of sequence) store.change(change);
        await detector.check({ era: 0, revision: store.revision });
        const isUpToDate = (kind: string) =>
          [...namesByKind.get(kind) ?? []].sort().join() ===
            store.namesOf(kind).join();
        await until(() => Promise.resolve(KINDS.every(isUpToDate)));
        for (const follower of followers) follower.stop();
      }),
      { seed: 1, numRuns: 40 },
    );
  });

  it("should not relist if the watches have delivered all changes", async () => {
    const store = new LossyStore();
    const { followers, detector } = followAll(store);
    await watchAll(store, followers);
    const { lists } = store;
    for (const kind of KINDS) {
      store.change({ kind, name: "a", deleted: false, watch: "delivers it" });
    }
    await detector.check({ era: 0, revision: store.revision });
    assert.equal(store.lists, lists);
    for (const follower of followers) follower.stop();
  });
});
