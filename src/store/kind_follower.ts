/**
 * Follows all objects of one kind: by a list and then by long watches of the store, or by
 * what other VMs tell, which have followed it themselves.
 */

import type { ObjectStore, StoreError } from "../platform/object_store.ts";
import { describeStoreError } from "../platform/object_store.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";
import { pause } from "../runtime/pause.ts";
import { type CopyNews, type KindChanges, KindCopy } from "./kind_copy.ts";
import type { KindListener } from "./kind_listener.ts";
import { asksStore, retryPauseMs, type StoreAccess } from "./store_access.ts";
import type { SeenRevisions } from "./seen_revisions.ts";
import type { StoreHealthKeeper } from "./store_health.ts";

/** Longest wait of one watch; the store counts each watch as a call, and takes 30 s. */
const WATCH_WAIT_MS = 25_000;
/** Longest wait for a list. */
const LIST_TIMEOUT_MS = 1_500;
/**
 * Pause before the first watch, in milliseconds. A VM that has just started finds a relay to
 * follow in this time, also where many come back together, and then needs no watch; a watch tells
 * of what has changed meanwhile.
 */
const SETTLE_MS = 2_000;
/** Time between looks whether the store is back. */
const STANDBY_MS = 100;
/** Longest wait for the store's return before a list is tried all the same. */
const AWAY_WAIT_MS = 2_000;

/**
 * Pause after changes, so that those that come in quick succession take one call: each
 * watch is counted. Small beside the seconds in which changes must be in force.
 */
const BATCH_PAUSE_MS = 120;

/** What a follower works with. */
export interface KindFollowerDeps {
  readonly objectStore: ObjectStore;
  readonly storeHealth: StoreHealthKeeper;
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
  readonly #copy: KindCopy;
  readonly #dateMs: () => number;
  #watch = new AbortController();
  #access: StoreAccess = "reader";
  #mustList = true;
  #settled = false;
  /** Revision up to which own reads have shown that the copy misses nothing. */
  #verifiedRevision = 0;
  #onNews: () => void = () => {};
  /** Ends the wait of a VM that does not ask the store. */
  #wake: () => void = () => {};
  #stopped = false;

  constructor(
    deps: KindFollowerDeps,
    { kind, listener, dateMs }: {
      kind: string;
      listener: KindListener;
      /** Dates whole reads; by the steady clock where it is left out. */
      dateMs?: () => number;
    },
  ) {
    this.#deps = deps;
    this.#dateMs = dateMs ?? (() => deps.clock.monotonicMs());
    this.kind = kind;
    this.#listener = listener;
    this.#copy = new KindCopy(kind);
    // A watch that was open while the store was away may wait on a dead connection.
    deps.storeHealth.onBack(() => this.relist());
  }

  /** Revision up to which all changes are known here; undefined before the first list. */
  get revision(): number | undefined {
    return this.#copy.revision;
  }

  /** Revision up to which own reads have shown that nothing was missed. */
  get verifiedRevision(): number {
    return this.#verifiedRevision;
  }

  /** Whether changes are expected from a watch, rather than from a list or from other VMs. */
  get watches(): boolean {
    return asksStore(this.#access) && this.#settled && !this.#mustList;
  }

  /** Notes that the store is at a revision; returns whether no change up to it was missed. */
  verify(revision: number): boolean {
    const after = this.#verifiedRevision;
    if (revision <= after) return true;
    if (!this.#deps.seenRevisions.hasAll({ after, upTo: revision })) {
      return false;
    }
    this.#verifiedRevision = revision;
    return true;
  }

  /** Starts to follow. */
  start(): void {
    void this.#run();
  }

  /** Stops to follow. */
  stop(): void {
    this.#stopped = true;
    this.#watch.abort();
    this.#wake();
  }

  /** Whether to ask the store, or to wait for what other VMs tell. */
  setAccess(access: StoreAccess): void {
    const asked = asksStore(this.#access);
    this.#access = access;
    if (asksStore(access) === asked) return;
    if (asked) this.#watch.abort();
    else this.#wake();
  }

  /** Reads the whole list at once instead of waiting for changes. */
  relist(): void {
    this.#mustList = true;
    this.#watch.abort();
  }

  /** Sets what is called whenever objects have changed here. */
  onNews(listener: () => void): void {
    this.#onNews = listener;
  }

  /** Changes that a VM does not know which knows all up to a revision. */
  changesSince(revision: number | undefined): KindChanges | undefined {
    return this.#copy.changesSince(revision);
  }

  /** Takes in what another VM has told. */
  hear(changes: KindChanges): void {
    const isFirst = this.#copy.revision === undefined;
    this.#settled = true;
    // Removed objects may bear the revision of the list in which they were missed.
    for (const { revision } of changes.objects) {
      this.#deps.seenRevisions.note(revision);
    }
    this.#tell(() => this.#copy.takeChanges(changes));
    // All that a list would bring; what came since, a watch brings.
    if (isFirst && this.#copy.revision !== undefined) this.#mustList = false;
  }

  async #run(): Promise<void> {
    while (!this.#stopped) {
      if (!asksStore(this.#access)) {
        await new Promise<void>((resolve) => this.#wake = resolve);
        continue;
      }
      const { revision } = this.#copy;
      const err = this.#mustList || revision === undefined
        ? await this.#list()
        : await this.#follow(revision);
      if (err !== undefined && !this.#stopped) await this.#recover(err);
    }
  }

  async #list(): Promise<StoreError | undefined> {
    this.#watch = new AbortController();
    this.#mustList = false;
    const { signal } = this.#watch;
    const startedMs = this.#dateMs();
    const listing = await this.#deps.objectStore.list(this.kind, {
      timeoutMs: LIST_TIMEOUT_MS,
      signal,
    });
    if (signal.aborted) return undefined;
    if (!listing.ok) {
      this.#deps.storeHealth.failed(describeStoreError(listing.error));
      return listing.error;
    }
    this.#deps.storeHealth.answered();
    const { revision } = listing.value;
    this.#tell(() => this.#copy.takeList(listing.value));
    this.#verifiedRevision = Math.max(this.#verifiedRevision, revision);
    this.#listener.read?.(startedMs);
    return undefined;
  }

  async #follow(revision: number): Promise<StoreError | undefined> {
    if (!this.#settled) {
      this.#settled = true;
      await pause(SETTLE_MS);
      return undefined;
    }
    this.#watch = new AbortController();
    const { signal } = this.#watch;
    const changes = await this.#deps.objectStore.watch(this.kind, {
      revision: Math.max(revision, this.#verifiedRevision),
      waitMs: WATCH_WAIT_MS,
      timeoutMs: WATCH_WAIT_MS,
      signal,
    });
    if (signal.aborted) return undefined;
    if (!changes.ok) return changes.error;
    const { events, revision: until } = changes.value;
    // A watch that was stuck answers nothing at a later revision: only reads go on from there.
    if (events.length === 0) return undefined;
    for (const { object } of events) {
      this.#deps.seenRevisions.note(object.revision);
    }
    this.#tell(() => this.#copy.takeEvents(events, until));
    await pause(BATCH_PAUSE_MS);
    return undefined;
  }

  #tell(take: () => CopyNews): void {
    const isFirst = this.#copy.revision === undefined;
    const { changed, removed } = take();
    if (changed.length + removed.length > 0) this.#onNews();
    if (isFirst && this.#copy.revision !== undefined) {
      this.#listener.listed(changed);
      return;
    }
    for (const object of changed) this.#listener.changed(object);
    for (const object of removed) this.#listener.deleted(object);
  }

  async #recover(err: StoreError): Promise<void> {
    this.#mustList = true;
    this.#deps.logger.info("List of the store is read again", {
      kind: this.kind,
      reason: describeStoreError(err),
    });
    // History that is lost says nothing about whether the store answers.
    if (err.tag === "history_lost") return;
    await pause(retryPauseMs(this.#access, this.#deps.chance()));
    await this.#awaitStore();
  }

  /** One reader finds out when the store is back, so that not every kind has to ask. */
  async #awaitStore(): Promise<void> {
    for (let waitedMs = 0; waitedMs < AWAY_WAIT_MS; waitedMs += STANDBY_MS) {
      if (this.#stopped || this.#deps.storeHealth.health.reachable) return;
      await pause(STANDBY_MS);
    }
  }
}
