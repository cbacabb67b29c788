/** A copy of all objects of one kind, and what has changed in it since a revision. */

import type {
  StoredObject,
  StoreEvent,
  StoreListing,
} from "../platform/object_store.ts";

/** Removed objects that are remembered, so that others can be told of them. */
const MOST_REMOVED = 2_000;

/** Changes of a kind from one revision of the store to another. */
export interface KindChanges {
  readonly kind: string;
  /** Whether `objects` are all that there are, rather than those that changed. */
  readonly whole: boolean;
  /** Revision up to which the changes are complete. */
  readonly revision: number;
  readonly objects: readonly StoredObject[];
  readonly removed: readonly StoredObject[];
}

/** What a copy has learnt. */
export interface CopyNews {
  readonly changed: readonly StoredObject[];
  readonly removed: readonly StoredObject[];
}

const NOTHING: CopyNews = { changed: [], removed: [] };

/** Objects of one kind as of one revision of the store; it never goes back. */
export class KindCopy {
  readonly #kind: string;
  readonly #objects = new Map<string, StoredObject>();
  /** With the revision at which the object was found to be gone. */
  #removed: StoredObject[] = [];
  /** Changes before this revision cannot be told one by one. */
  #tellableFrom = 0;
  #revision: number | undefined;

  constructor(kind: string) {
    this.#kind = kind;
  }

  /** Revision up to which the copy is complete; undefined before the first list. */
  get revision(): number | undefined {
    return this.#revision;
  }

  /** Takes in a whole list; older ones than the copy change nothing. */
  takeList({ objects, revision }: StoreListing): CopyNews {
    if (revision < (this.#revision ?? 0)) return NOTHING;
    const listed = new Set(objects.map(({ name }) => name));
    const missing = [...this.#objects.values()]
      .filter(({ name }) => !listed.has(name))
      .map((object) => ({ ...object, revision }));
    if (this.#revision === undefined) this.#tellableFrom = revision;
    const changed = objects.filter((object) => this.#put(object));
    const removed = missing.filter((object) => this.#remove(object));
    this.#revision = revision;
    return { changed, removed };
  }

  /** Takes in what a watch has told. */
  takeEvents(
    events: readonly StoreEvent[],
    revision: number,
  ): CopyNews {
    // By name, as an object may go and be made anew in one batch: only what it has come to
    // counts, as listeners are told of changes before they are told of removals.
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
    this.#revision = Math.max(this.#revision ?? 0, revision);
    return { changed: [...changed.values()], removed: [...removed.values()] };
  }

  /** Takes in what another VM has told since the revision of this copy, or earlier. */
  takeChanges({ whole, revision, objects, removed }: KindChanges): CopyNews {
    if (whole) return this.takeList({ objects, revision });
    if (this.#revision === undefined) return NOTHING;
    return this.takeEvents([
      ...objects.map((object) => ({ object, deleted: false })),
      ...removed.map((object) => ({ object, deleted: true })),
    ], revision);
  }

  /** Changes since a revision; undefined where there is nothing to tell. */
  changesSince(known: number | undefined): KindChanges | undefined {
    const revision = this.#revision;
    if (revision === undefined || revision <= (known ?? -1)) return undefined;
    const objects = [...this.#objects.values()];
    const kind = this.#kind;
    if (known === undefined || known < this.#tellableFrom) {
      return { kind, whole: true, revision, objects, removed: [] };
    }
    const isNew = (object: StoredObject) => object.revision > known;
    return {
      kind,
      whole: false,
      revision,
      objects: objects.filter(isNew),
      removed: this.#removed.filter(isNew),
    };
  }

  /** Returns whether the object is news. */
  #put(object: StoredObject): boolean {
    const known = this.#objects.get(object.name) ??
      this.#removed.find(({ name }) => name === object.name);
    if (known !== undefined && known.revision >= object.revision) return false;
    this.#objects.set(object.name, object);
    this.#removed = this.#removed.filter(({ name }) => name !== object.name);
    return true;
  }

  /** Returns whether the object was there, and not made anew since. */
  #remove(object: StoredObject): boolean {
    const known = this.#objects.get(object.name);
    if (known === undefined || known.revision > object.revision) return false;
    this.#objects.delete(object.name);
    this.#removed.push(object);
    while (this.#removed.length > MOST_REMOVED) {
      const forgotten = this.#removed.shift();
      this.#tellableFrom = Math.max(
        this.#tellableFrom,
        forgotten?.revision ?? 0,
      );
    }
    return true;
  }
}
