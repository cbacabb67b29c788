/**
 * Keeps a local cache of all objects of one kind up to date: either from the store, by a list and
 * then long-poll watches, or from updates sent by other VMs that read the store.
 */

import {
  describeStoreError,
  isLaterPosition,
  type ObjectStore,
  type StoreError,
  type StorePosition,
  UNREPORTED_ERA,
} from "../platform/object_store.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";
import { pause } from "../runtime/pause.ts";
import type { KindChanges } from "./kind_cache.ts";
import type { KindListener } from "./kind_listener.ts";
import { KindReplica, type KindReplicaOptions } from "./kind_replica.ts";
import { readsStore, retryDelayMs, type StoreAccess } from "./store_access.ts";
import type { SeenRevisions } from "./seen_revisions.ts";
import type { StoreEraMonitor } from "./store_era_monitor.ts";
import type { StoreHealthMonitor } from "./store_health_monitor.ts";

/** Long-poll duration of one watch. The store bills each watch as a call and allows 30 s. */
const WATCH_TIMEOUT_MS = 25_000;
const LIST_TIMEOUT_MS = 1_500;
/**
 * Time after the start before the first watch. In it a VM finds a relay to follow, even if many VMs
 * restart together, and then needs no watch of its own. A watch opened after it still returns the
 * changes made in the meantime.
 */
const FIRST_WATCH_DELAY_MS = 2_000;
/** Age from which on a list without an answer may wait on a dead connection. */
const STALE_LIST_MS = 250;
/** Interval at which a follower checks whether the store is reachable again. */
const REACHABILITY_POLL_INTERVAL_MS = 100;
/** Maximum wait for the store to become reachable before a list is attempted anyway. */
const MAX_REACHABILITY_WAIT_MS = 2_000;

/**
 * Pause after each watch that returned changes, so that changes in quick succession take one
 * billed watch. Short compared with the seconds within which a change must take effect.
 */
const BATCH_DELAY_MS = 120;

/** Doublings of the delay after a watch whose revision the store lacks although it was just listed. */
const MAX_HISTORY_BACKOFF_DOUBLINGS = 2;

/** Dependencies of a follower. */
export interface KindFollowerDeps {
  readonly objectStore: ObjectStore;
  readonly storeHealth: StoreHealthMonitor;
  readonly storeEraMonitor: StoreEraMonitor;
  readonly seenRevisions: SeenRevisions;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly chance: () => number;
}

/** Follows one kind until it is stopped. */
export class KindFollower {
  readonly kind: string;
  readonly #deps: KindFollowerDeps;
  readonly #listener: KindListener;
  readonly #replica: KindReplica;
  readonly #timestampMs: () => number;
  #watch = new AbortController();
  #isWatchPending = false;
  #access: StoreAccess = "reader";
  #needsList = true;
  /** When the list that is being read was requested, by the monotonic clock. */
  #listingSinceMs: number | undefined;
  #firstWatchAllowed = false;
  readonly #createdMs: number;
  /** Position up to which reads by this VM have shown that the cache lacks no change. */
  #verified: StorePosition = { era: UNREPORTED_ERA, revision: 0 };
  /** Watches in a row that were refused because the store lacks their revision. */
  #refusedWatches = 0;
  /** Resumes the loop of a VM that does not read the store. */
  #resume: () => void = () => {};
  #stopped = false;

  constructor(
    deps: KindFollowerDeps,
    { timestampMs, ...options }: Omit<KindReplicaOptions, "logger"> & {
      /** Clock for the start times of lists; the monotonic clock by default. */
      timestampMs?: () => number;
    },
  ) {
    this.#deps = deps;
    this.#createdMs = deps.clock.monotonicMs();
    this.#timestampMs = timestampMs ?? (() => deps.clock.monotonicMs());
    this.kind = options.kind;
    this.#listener = options.listener;
    const { logger } = deps;
    this.#replica = new KindReplica({ ...options, logger });
    deps.storeEraMonitor.onRestored(() => {
      if (this.#isWatchPending) this.#watch.abort();
    });
    // A watch opened before the store became unreachable may be waiting on a dead connection.
    deps.storeHealth.onRecovered(() => this.relist());
  }

  /** Position up to which the cache is complete; undefined before the first list. */
  get position(): StorePosition | undefined {
    return this.#replica.position;
  }

  /** Position up to which reads by this VM have shown that no change was missed. */
  get verifiedPosition(): StorePosition {
    return this.#verified;
  }

  /** Whether listeners have not been told of an object's state in a restored store. */
  isHeld(name: string): boolean {
    return this.#replica.isHeld(name);
  }

  /** Whether this VM reads the kind itself, rather than through other VMs. */
  get readsStore(): boolean {
    return readsStore(this.#access);
  }

  /** Whether changes are expected from a watch, rather than from a list or from other VMs. */
  get isWatching(): boolean {
    return readsStore(this.#access) && this.#firstWatchAllowed &&
      !this.#isListDue;
  }

  /** Records that the store is at a position; returns whether every change up to it was seen. */
  verifyUpTo(position: StorePosition): boolean {
    const after = this.#verified;
    if (!isLaterPosition(position, after)) return true;
    if (!this.#deps.seenRevisions.hasAll({ after, upTo: position })) {
      return false;
    }
    this.#verified = position;
    return true;
  }

  /** Whether the complete list is to be read before the next watch. */
  get #isListDue(): boolean {
    const { position } = this.#replica;
    return this.#needsList || position === undefined ||
      position.era < this.#deps.storeEraMonitor.era;
  }

  start(): void {
    void this.#run();
  }

  stop(): void {
    this.#stopped = true;
    this.#watch.abort();
    this.#replica.stop();
    this.#resume();
  }

  /** Sets whether this VM reads the store or waits for updates from other VMs. */
  setAccess(access: StoreAccess): void {
    const readBefore = readsStore(this.#access);
    this.#access = access;
    if (readsStore(access) === readBefore) return;
    if (readBefore) this.#watch.abort();
    else this.#resume();
  }

  /** Aborts the current watch and reads the complete list, unless it was requested just now. */
  relist(): void {
    const listingMs = this.#deps.clock.monotonicMs() -
      (this.#listingSinceMs ?? -Infinity);
    if (listingMs < STALE_LIST_MS) return;
    this.#needsList = true;
    this.#watch.abort();
  }

  /** Sets the callback for changes of the cached objects. */
  onUpdate(listener: () => void): void {
    this.#replica.onUpdate(listener);
  }

  /** Changes that a VM lacks whose cache is complete up to the given position. */
  changesSince(position: StorePosition | undefined): KindChanges | undefined {
    return this.#replica.changesSince(position);
  }

  /** Applies changes received from another VM. */
  receive(changes: KindChanges): void {
    const isFirst = this.#replica.position === undefined;
    this.#firstWatchAllowed = true;
    const { era } = changes;
    // Only `objects`: a removed object may carry the revision of the list that it was absent from.
    for (const { revision } of changes.objects) {
      this.#deps.seenRevisions.add({ era, revision });
    }
    this.#replica.applyChanges(changes);
    // These changes replace the initial list; a watch returns what has changed since.
    if (isFirst && this.#replica.position !== undefined) {
      this.#needsList = false;
    }
  }

  async #run(): Promise<void> {
    while (!this.#stopped) {
      if (!readsStore(this.#access)) {
        await new Promise<void>((resolve) => this.#resume = resolve);
        continue;
      }
      const { position } = this.#replica;
      const isListDue = this.#isListDue || position === undefined;
      if (isListDue) this.#listingSinceMs = this.#deps.clock.monotonicMs();
      const err = isListDue
        ? await this.#list()
        : await this.#watchOnce(position);
      this.#listingSinceMs = undefined;
      if (err !== undefined && !this.#stopped) await this.#recover(err);
    }
  }

  async #list(): Promise<StoreError | undefined> {
    this.#watch = new AbortController();
    this.#needsList = false;
    const { signal } = this.#watch;
    const startedMs = this.#timestampMs();
    const listing = await this.#deps.objectStore.list(this.kind, {
      timeoutMs: LIST_TIMEOUT_MS,
      signal,
    });
    if (signal.aborted) return undefined;
    if (!listing.ok) {
      this.#deps.storeHealth.recordFailure(describeStoreError(listing.error));
      return listing.error;
    }
    this.#deps.storeHealth.recordSuccess();
    const { era, revision } = listing.value;
    if (era < this.#deps.storeEraMonitor.era) {
      return { tag: "uncertain", reason: `answer of the earlier era ${era}` };
    }
    this.#replica.applyList(listing.value);
    if (isLaterPosition({ era, revision }, this.#verified)) {
      this.#verified = { era, revision };
    }
    this.#listener.refreshed?.(listing.value, startedMs);
    return undefined;
  }

  async #watchOnce(position: StorePosition): Promise<StoreError | undefined> {
    if (!this.#firstWatchAllowed) {
      this.#firstWatchAllowed = true;
      const ageMs = this.#deps.clock.monotonicMs() - this.#createdMs;
      if (ageMs < FIRST_WATCH_DELAY_MS) {
        await pause(FIRST_WATCH_DELAY_MS - ageMs);
      }
      return undefined;
    }
    this.#watch = new AbortController();
    const { signal } = this.#watch;
    const verified = this.#verified;
    const from = isLaterPosition(verified, position) ? verified : position;
    this.#isWatchPending = true;
    const changes = await this.#deps.objectStore.watch(this.kind, {
      revision: from.revision,
      waitMs: WATCH_TIMEOUT_MS,
      timeoutMs: WATCH_TIMEOUT_MS,
      signal,
    });
    this.#isWatchPending = false;
    if (signal.aborted) return undefined;
    if (!changes.ok) return changes.error;
    this.#refusedWatches = 0;
    const { events, era } = changes.value;
    // A stalled watch may return a later revision without the changes before it, so that a
    // response without events does not advance the revision; only reads do.
    if (events.length === 0) return undefined;
    // After a restore, a watch from a revision that was given out again lacks what lies between.
    if (era !== from.era) {
      this.#needsList = true;
      return undefined;
    }
    for (const { object } of events) {
      this.#deps.seenRevisions.add({ era, revision: object.revision });
    }
    this.#replica.applyEvents(events, changes.value);
    await pause(BATCH_DELAY_MS);
    return undefined;
  }

  async #recover(err: StoreError): Promise<void> {
    this.#needsList = true;
    this.#deps.logger.info("Reading the list of a kind again", {
      kind: this.kind,
      reason: describeStoreError(err),
    });
    // Expired change history does not mean that the store is unreachable.
    if (err.tag === "history_lost") {
      await this.#backOffWatch();
      return;
    }
    await pause(retryDelayMs(this.#access, this.#deps.chance()));
    await this.#awaitStore();
  }

  /** The first refused watch leads to a list at once, further ones to a list after a delay. */
  async #backOffWatch(): Promise<void> {
    const doublings = Math.min(
      this.#refusedWatches - 1,
      MAX_HISTORY_BACKOFF_DOUBLINGS,
    );
    this.#refusedWatches += 1;
    if (doublings < 0) return;
    const delayMs = retryDelayMs(this.#access, this.#deps.chance());
    await pause(delayMs * 2 ** doublings);
  }

  /** Lets one reader detect that the store is reachable again, to avoid a call for each kind. */
  async #awaitStore(): Promise<void> {
    for (
      let waitedMs = 0;
      waitedMs < MAX_REACHABILITY_WAIT_MS;
      waitedMs += REACHABILITY_POLL_INTERVAL_MS
    ) {
      if (this.#stopped || this.#deps.storeHealth.health.reachable) return;
      await pause(REACHABILITY_POLL_INTERVAL_MS);
    }
  }
}
