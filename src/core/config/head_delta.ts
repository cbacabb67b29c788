/** What changed from one head to a later one; far smaller than the head itself. */

import type { Revision } from "../ids.ts";
import type { Head, ObjectRef } from "./stored_configuration.ts";

/** Changes of a head. */
export interface HeadDelta {
  /** Revision to which the changes are to be applied. */
  readonly from: Revision;
  readonly revision: Revision;
  readonly accepted_at_ms: number;
  readonly changed: readonly ObjectRef[];
}

/** Returns the changes, or undefined where only the whole head will do. */
export function headDelta(from: Head, to: Head): HeadDelta | undefined {
  if (from.objects.length !== to.objects.length) return undefined;
  const changed: ObjectRef[] = [];
  for (const [at, ref] of to.objects.entries()) {
    const before = from.objects[at] as ObjectRef;
    if (before.section !== ref.section || before.bucket !== ref.bucket) {
      return undefined;
    }
    if (before.sha256 !== ref.sha256) changed.push(ref);
  }
  const { revision, accepted_at_ms } = to;
  return { from: from.revision, revision, accepted_at_ms, changed };
}

/**
 * Returns the later head, or undefined if `delta` is for another one. Acceptances
 * are left out: only the platform's own head settles lost answers.
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
