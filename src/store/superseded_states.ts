/** Remembers earlier states of objects, to recognize them in a store restored from a copy. */

import { isDeepStrictEqual } from "node:util";
import type { StoredObject } from "../platform/object_store.ts";

/** Maximum number of states kept, oldest evicted first; a copy is only seconds old. */
const MAX_STATES = 2_000;

/** States that have been replaced or removed since. */
export class SupersededStates {
  readonly #states = new Map<string, StoredObject>();

  /** Adds a state that was replaced by a later one, or whose object was removed. */
  add(object: StoredObject): void {
    this.#states.set(keyOf(object), object);
    if (this.#states.size <= MAX_STATES) return;
    const [oldest] = this.#states.keys();
    if (oldest !== undefined) this.#states.delete(oldest);
  }

  /** Whether an object is in a state that was superseded before. */
  has(object: StoredObject): boolean {
    const state = this.#states.get(keyOf(object));
    return state !== undefined && isSameState(state, object);
  }
}

/** Whether two objects with the same name are in the same state, at the same revision. */
export function isSameState(
  { revision, spec, status }: StoredObject,
  other: StoredObject,
): boolean {
  // A revision that is given out again after a restore may belong to another content.
  return revision === other.revision &&
    isDeepStrictEqual(spec, other.spec) &&
    isDeepStrictEqual(status ?? null, other.status ?? null);
}

function keyOf({ name, revision }: StoredObject): string {
  return `${revision} ${name}`;
}
