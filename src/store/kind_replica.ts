/** Replica of one kind of the store, which tells a listener of each change. */

import type {
  ObjectContent,
  StoredObject,
  StoreEvent,
  StoreListing,
  StorePosition,
} from "../platform/object_store.ts";
import type { Logger } from "../runtime/logger.ts";
import { HeldChanges } from "./held_changes.ts";
import {
  type AppliedChanges,
  KindCache,
  type KindChanges,
} from "./kind_cache.ts";
import type { KindListener } from "./kind_listener.ts";

/** How long the differences of a restored store are held back, in milliseconds. */
export interface RestoreHold {
  /** For objects whose state in the store was superseded before the restore. */
  readonly outdatedMs: number;
  /** For objects that the restored store lacks. */
  readonly lostMs: number;
}

/** Properties of a replica. */
export interface KindReplicaOptions {
  readonly kind: string;
  /**
   * Returns the content that the listener decodes. An odd object of another writer may hold more, for
   * example fields nested too deeply to be compared, or sent to other VMs.
   */
  readonly normalize: (object: StoredObject) => ObjectContent;
  readonly listener: KindListener;
  /** By default, the listener is told at once what a restored store holds. */
  readonly restoreHold?: RestoreHold | undefined;
  readonly logger: Logger;
}

const NO_HOLD: RestoreHold = { outdatedMs: 0, lostMs: 0 };

/** The cached objects, and the changes that are held back after a restore. */
export class KindReplica {
  readonly #options: KindReplicaOptions;
  readonly #cache: KindCache;
  readonly #held: HeldChanges;
  #onUpdate: () => void = () => {};

  constructor(options: KindReplicaOptions) {
    const { kind, listener, restoreHold } = options;
    this.#options = options;
    this.#cache = new KindCache(kind, {
      remembersSuperseded: restoreHold !== undefined,
    });
    this.#held = new HeldChanges(({ object, deleted }) =>
      deleted ? listener.deleted(object) : listener.changed(object)
    );
  }

  /** Position up to which the replica is complete; undefined before the first list. */
  get position(): StorePosition | undefined {
    return this.#cache.position;
  }

  /** Whether the listener has not been told of an object's state in a restored store. */
  isHeld(name: string): boolean {
    return this.#held.has(name);
  }

  /** Sets the callback for changes of the cached objects. */
  onUpdate(listener: () => void): void {
    this.#onUpdate = listener;
  }

  /** Changes that a VM lacks whose replica is complete up to the given position. */
  changesSince(position: StorePosition | undefined): KindChanges | undefined {
    return this.#cache.changesSince(position);
  }

  /** Applies a complete list. */
  applyList(listing: StoreListing): void {
    const objects = this.#normalize(listing.objects);
    this.#update(() => this.#cache.applyList({ ...listing, objects }));
  }

  /** Applies the events that a watch has returned. */
  applyEvents(events: readonly StoreEvent[], until: StorePosition): void {
    const normalized = events.map(({ object, deleted }) => ({
      object: this.#normalizeOne(object),
      deleted,
    }));
    this.#update(() => this.#cache.applyEvents(normalized, until));
  }

  /** Applies changes from another VM. */
  applyChanges(changes: KindChanges): void {
    const objects = this.#normalize(changes.objects);
    const removed = this.#normalize(changes.removed);
    this.#update(() =>
      this.#cache.applyChanges({ ...changes, objects, removed })
    );
  }

  /** Drops the changes that are held back. */
  stop(): void {
    this.#held.stop();
  }

  #normalize(objects: readonly StoredObject[]): StoredObject[] {
    return objects.map((object) => this.#normalizeOne(object));
  }

  #normalizeOne(object: StoredObject): StoredObject {
    const { name, revision } = object;
    return { name, revision, ...this.#options.normalize(object) };
  }

  #update(apply: () => AppliedChanges | undefined): void {
    const before = this.position;
    const applied = apply();
    if (applied === undefined) return;
    const { changed, removed } = applied;
    const isRestored = before !== undefined &&
      before.era !== this.position?.era;
    if (isRestored) this.#logRestore(before, applied);
    if (changed.length + removed.length > 0 || isRestored) this.#onUpdate();
    const { listener } = this.#options;
    if (before === undefined) {
      listener.listed(changed);
      return;
    }
    for (const { name } of [...changed, ...removed]) this.#held.drop(name);
    for (const object of changed) listener.changed(object);
    for (const object of removed) listener.deleted(object);
    this.#holdBack(applied);
  }

  #holdBack({ outdated, lost }: AppliedChanges): void {
    const { listener, restoreHold = NO_HOLD } = this.#options;
    const hold = (
      objects: readonly StoredObject[],
      { deleted, holdMs }: { deleted: boolean; holdMs: number },
    ) =>
      this.#held.hold(objects.map((object) => ({ object, deleted })), holdMs);
    hold(outdated, { deleted: false, holdMs: restoreHold.outdatedMs });
    hold(lost, { deleted: true, holdMs: restoreHold.lostMs });
    for (const object of outdated) listener.outdated?.(object);
  }

  #logRestore(before: StorePosition, applied: AppliedChanges): void {
    const { kind, logger } = this.#options;
    logger.warn("Kind was restored from a copy", {
      kind,
      era: this.position?.era,
      era_before: before.era,
      revision: this.position?.revision,
      revision_before: before.revision,
      changed: applied.changed.length,
      outdated: applied.outdated.length,
      lost: applied.lost.length,
    });
  }
}
