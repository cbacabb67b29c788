/** Difference between a head and a later one, which is much smaller than a whole head. */

import type { Revision } from "../ids.ts";
import type { Head, ObjectRef } from "./stored_configuration.ts";

/** Difference between two heads. */
export interface HeadDelta {
  /** Revision that the delta applies to. */
  readonly from: Revision;
  readonly revision: Revision;
  readonly accepted_at_ms: number;
  readonly changed: readonly ObjectRef[];
}

/** Returns the difference, or undefined if the whole head is needed, as objects were added or removed. */
export function diffHeads(from: Head, to: Head): HeadDelta | undefined {
  if (from.objects.length !== to.objects.length) return undefined;
  const changed: ObjectRef[] = [];
  for (const [index, ref] of to.objects.entries()) {
    const before = from.objects[index] as ObjectRef;
    if (before.section !== ref.section || before.bucket !== ref.bucket) {
      return undefined;
    }
    if (before.sha256 !== ref.sha256) changed.push(ref);
  }
  const { revision, accepted_at_ms } = to;
  return { from: from.revision, revision, accepted_at_ms, changed };
}

/**
 * Returns the later head, or undefined if `delta` applies to another revision. The result has
 * no acceptances: only the platform's own head is used to resolve lost responses.
 */
export function applyHeadDelta(
  from: Head | undefined,
  delta: HeadDelta,
): Head | undefined {
  if (from === undefined || from.revision !== delta.from) return undefined;
  const changed = new Map(delta.changed.map((ref) => [refKey(ref), ref]));
  return {
    revision: delta.revision,
    accepted_at_ms: delta.accepted_at_ms,
    accepted: [],
    objects: from.objects.map((ref) => changed.get(refKey(ref)) ?? ref),
  };
}

function refKey({ section, bucket }: ObjectRef): string {
  return `${section}/${bucket}`;
}
