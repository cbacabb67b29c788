/** Who wants to know of the objects of a kind. */

import type { StoredObject } from "../platform/object_store.ts";

/** Told of the first list, and then of each change. */
export interface KindListener {
  /** All objects, once, when they are first known. */
  listed(objects: readonly StoredObject[]): void;
  /** One object was made or changed. */
  changed(object: StoredObject): void;
  /** One object is gone. */
  deleted(object: StoredObject): void;
  /** All was read from the store, by a read that began then and cannot be stale. */
  read?(startedMs: number): void;
}
