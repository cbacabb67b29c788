/** Follows all objects of one kind by a list and then by long watches. */

import type {
  ObjectStore,
  StoredObject,
  StoreError,
} from "../platform/object_store.ts";
import { describeStoreError } from "../platform/object_store.ts";
import type { Logger } from "../runtime/logger.ts";
import { pause } from "../runtime/pause.ts";
import type { StoreHealthKeeper } from "./store_health.ts";

/** Longest wait of one watch; the store counts each watch as a call, and takes 30 s. */
const WATCH_WAIT_MS = 25_000;
/** Longest wait for a list. */
const LIST_TIMEOUT_MS = 1_500;
/** Pause after a failed call; spread, so that a fleet does not return as one. */
const RETRY_PAUSE_MS = 150;
const RETRY_SPREAD_MS = 200;

/**
 * Pause after changes, so that those that come in quick succession take one call: each
 * watch is counted. Small beside the seconds in which changes must be in force.
 */
const BATCH_PAUSE_MS = 120;

/** Who wants to know of the objects. */
export interface KindListener {
  /** The whole list was read. */
  listed(objects: readonly StoredObject[]): void;
  /** One object was made or changed. */
  changed(object: StoredObject): void;
  /** One object is gone. */
  deleted(object: StoredObject): void;
}

/** What a follower works with. */
export interface KindFollowerDeps {
  readonly objectStore: ObjectStore;
  readonly storeHealth: StoreHealthKeeper;
  readonly logger: Logger;
  readonly chance: () => number;
}

/** Follows one kind until it is stopped. */
export class KindFollower {
  readonly #deps: KindFollowerDeps;
  readonly #kind: string;
  readonly #listener: KindListener;
  #revision: number | undefined;
  #watch = new AbortController();
  #stopped = false;

  constructor(
    deps: KindFollowerDeps,
    { kind, listener }: { kind: string; listener: KindListener },
  ) {
    this.#deps = deps;
    this.#kind = kind;
    this.#listener = listener;
    // A watch that was open while the store was away may wait on a dead connection.
    deps.storeHealth.onBack(() => this.relist());
  }

  /** Starts to follow. */
  start(): void {
    void this.#run();
  }

  /** Stops to follow. */
  stop(): void {
    this.#stopped = true;
    this.#watch.abort();
  }

  /** Reads the whole list at once instead of waiting for changes. */
  relist(): void {
    this.#revision = undefined;
    this.#watch.abort();
  }

  async #run(): Promise<void> {
    while (!this.#stopped) {
      const err = this.#revision === undefined
        ? await this.#list()
        : await this.#follow(this.#revision);
      if (err !== undefined && !this.#stopped) await this.#recover(err);
    }
  }

  async #list(): Promise<StoreError | undefined> {
    this.#watch = new AbortController();
    const listing = await this.#deps.objectStore.list(this.#kind, {
      timeoutMs: LIST_TIMEOUT_MS,
      signal: this.#watch.signal,
    });
    if (!listing.ok) return listing.error;
    this.#revision = listing.value.revision;
    this.#deps.storeHealth.answered();
    this.#listener.listed(listing.value.objects);
    return undefined;
  }

  async #follow(revision: number): Promise<StoreError | undefined> {
    this.#watch = new AbortController();
    const { signal } = this.#watch;
    const changes = await this.#deps.objectStore.watch(this.#kind, {
      revision,
      waitMs: WATCH_WAIT_MS,
      timeoutMs: WATCH_WAIT_MS,
      signal,
    });
    if (signal.aborted) return undefined;
    if (!changes.ok) return changes.error;
    this.#revision = changes.value.revision;
    for (const { object, deleted } of changes.value.events) {
      if (deleted) this.#listener.deleted(object);
      else this.#listener.changed(object);
    }
    if (changes.value.events.length > 0) await pause(BATCH_PAUSE_MS);
    return undefined;
  }

  async #recover(err: StoreError): Promise<void> {
    this.#revision = undefined;
    this.#deps.logger.info("List of the store is read again", {
      kind: this.#kind,
      reason: describeStoreError(err),
    });
    // History that is lost says nothing about whether the store answers.
    if (err.tag === "history_lost") return;
    await pause(RETRY_PAUSE_MS + RETRY_SPREAD_MS * this.#deps.chance());
  }
}
