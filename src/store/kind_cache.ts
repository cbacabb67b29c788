/** Caches all objects of one kind, with the changes since earlier positions of the store. */

import {
  isLaterPosition,
  type StoredObject,
  type StoreEvent,
  type StoreListing,
  type StorePosition,
} from "../platform/object_store.ts";
import { isSameState, SupersededStates } from "./superseded_states.ts";

/** Maximum number of removed objects that are kept for updates to other VMs. */
const MAX_TOMBSTONES = 2_000;

/** Changes of a kind from one position of the store to another. */
export interface KindChanges extends StorePosition {
  readonly kind: string;
  /** Whether `objects` is the complete list, rather than the changed objects. */
  readonly whole: boolean;
  readonly objects: readonly StoredObject[];
  readonly removed: readonly StoredObject[];
}

/** Objects that an update has changed in a cache. */
export interface AppliedChanges {
  readonly changed: readonly StoredObject[];
  readonly removed: readonly StoredObject[];
  /** Objects of a restored store, in states that were superseded before the restore. */
  readonly outdated: readonly StoredObject[];
  /** Objects that a restored store lacks. */
  readonly lost: readonly StoredObject[];
}

/**
 * Objects of one kind as of one position of the store; the position never decreases. Updates return
 * undefined if they do not apply: lists older than the cache, and single changes of another era,
 * before which other changes may be missing.
 */
export class KindCache {
  readonly #kind: string;
  #objects = new Map<string, StoredObject>();
  /** Removed objects, each with the revision at which its removal was detected. */
  #tombstones: StoredObject[] = [];
  readonly #superseded: SupersededStates | undefined;
  /** Oldest revision since which changes can be sent; older ones need the complete list. */
  #deltaBaseRevision = 0;
  #position: StorePosition | undefined;

  /** Large objects whose states are ordered by other means need not be remembered. */
  constructor(
    kind: string,
    { remembersSuperseded = true }: { remembersSuperseded?: boolean } = {},
  ) {
    this.#kind = kind;
    if (remembersSuperseded) this.#superseded = new SupersededStates();
  }

  /** Position up to which the cache is complete; undefined before the first list. */
  get position(): StorePosition | undefined {
    return this.#position;
  }

  /** Applies a complete list. */
  applyList(listing: StoreListing): AppliedChanges | undefined {
    const { objects, era, revision } = listing;
    const before = this.#position;
    if (before !== undefined && isLaterPosition(before, listing)) {
      return undefined;
    }
    this.#position = { era, revision };
    if (before === undefined) this.#deltaBaseRevision = revision;
    else if (era !== before.era) return this.#replaceAll(listing);
    const listed = new Set(objects.map(({ name }) => name));
    const missing = [...this.#objects.values()]
      .filter(({ name }) => !listed.has(name))
      .map((object) => ({ ...object, revision }));
    return {
      changed: objects.filter((object) => this.#put(object)),
      removed: missing.filter((object) => this.#remove(object)),
      outdated: [],
      lost: [],
    };
  }

  /** Applies the events that a watch has returned. */
  applyEvents(
    events: readonly StoreEvent[],
    { era, revision }: StorePosition,
  ): AppliedChanges | undefined {
    const before = this.#position;
    if (before === undefined || before.era !== era) return undefined;
    // An object may be deleted and created again in one batch. Only its final state is reported,
    // because listeners get all changes before all removals.
    const changed = new Map<string, StoredObject>();
    const removed = new Map<string, StoredObject>();
    for (const { object, deleted } of events) {
      const { name } = object;
      if (deleted && this.#remove(object)) {
        changed.delete(name);
        removed.set(name, object);
      } else if (!deleted && this.#put(object)) {
        removed.delete(name);
        changed.set(name, object);
      }
    }
    this.#position = { era, revision: Math.max(before.revision, revision) };
    return {
      changed: [...changed.values()],
      removed: [...removed.values()],
      outdated: [],
      lost: [],
    };
  }

  /** Applies changes from another VM, since the position of this cache or an earlier one. */
  applyChanges(changes: KindChanges): AppliedChanges | undefined {
    const { whole, objects, removed } = changes;
    if (whole) return this.applyList(changes);
    return this.applyEvents([
      ...objects.map((object) => ({ object, deleted: false })),
      ...removed.map((object) => ({ object, deleted: true })),
    ], changes);
  }

  /** Changes since a position; undefined if the cache is not later. */
  changesSince(since: StorePosition | undefined): KindChanges | undefined {
    const position = this.#position;
    if (position === undefined) return undefined;
    if (since !== undefined && !isLaterPosition(position, since)) {
      return undefined;
    }
    const objects = [...this.#objects.values()];
    const kind = this.#kind;
    if (
      since === undefined || since.era !== position.era ||
      since.revision < this.#deltaBaseRevision
    ) {
      return { kind, whole: true, ...position, objects, removed: [] };
    }
    const isNew = ({ revision }: StoredObject) => revision > since.revision;
    return {
      kind,
      whole: false,
      ...position,
      objects: objects.filter(isNew),
      removed: this.#tombstones.filter(isNew),
    };
  }

  /** Replaces everything by a list of a later era, whose revisions compare with no earlier one. */
  #replaceAll({ objects, revision }: StoreListing): AppliedChanges {
    const before = this.#objects;
    this.#objects = new Map(objects.map((object) => [object.name, object]));
    this.#tombstones = [];
    this.#deltaBaseRevision = revision;
    const different = objects.filter((object) => {
      const known = before.get(object.name);
      return known === undefined || !isSameState(known, object);
    });
    const isOutdated = (object: StoredObject) =>
      this.#superseded?.has(object) === true;
    return {
      changed: different.filter((object) => !isOutdated(object)),
      removed: [],
      outdated: different.filter(isOutdated),
      lost: [...before.values()]
        .filter(({ name }) => !this.#objects.has(name))
        .map((object) => ({ ...object, revision })),
    };
  }

  /** Returns whether the object is newer than the cached one. */
  #put(object: StoredObject): boolean {
    const cached = this.#objects.get(object.name);
    const entry = cached ??
      this.#tombstones.find(({ name }) => name === object.name);
    if (entry !== undefined && entry.revision >= object.revision) return false;
    if (cached !== undefined) this.#superseded?.add(cached);
    this.#objects.set(object.name, object);
    this.#tombstones = this.#tombstones.filter(({ name }) =>
      name !== object.name
    );
    return true;
  }

  /** Returns whether the object was cached and has not been created again since. */
  #remove(object: StoredObject): boolean {
    const entry = this.#objects.get(object.name);
    if (entry === undefined || entry.revision > object.revision) return false;
    this.#superseded?.add(entry);
    this.#objects.delete(object.name);
    this.#tombstones.push(object);
    while (this.#tombstones.length > MAX_TOMBSTONES) {
      const dropped = this.#tombstones.shift();
      this.#deltaBaseRevision = Math.max(
        this.#deltaBaseRevision,
        dropped?.revision ?? 0,
      );
    }
    return true;
  }
}
