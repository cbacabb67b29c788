/** Receives the objects of a kind from its follower. */

import type { StoredObject, StoreListing } from "../platform/object_store.ts";

/** Called with the first list, and then for each change. */
export interface KindListener {
  /** All objects; called once, with the first list. */
  listed(objects: readonly StoredObject[]): void;
  /** An object was created or updated. */
  changed(object: StoredObject): void;
  /** An object was deleted. */
  deleted(object: StoredObject): void;
  /** A complete list was read from the store; the read began at `startedMs` and cannot be stale. */
  refreshed?(listing: StoreListing, startedMs: number): void;
  /**
   * A restored store has an object in a state that was superseded before the restore; a call of
   * `changed` follows after a while, unless the object changes until then.
   */
  outdated?(object: StoredObject): void;
}
