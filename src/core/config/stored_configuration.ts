/** The form in which a configuration lies in the platform: a head and objects. */

import type { Revision, Sha256 } from "../ids.ts";
import type { Section } from "./configuration.ts";

/** Key of the one object whose conditional update accepts a configuration. */
export const HEAD_KEY = "configuration/head";

/** Largest value that the platform holds, in bytes. */
export const MAX_VALUE_BYTES = 1_000_000;

/** Acceptances that the head remembers, so that a lost answer can be settled. */
export const REMEMBERED_APPLIES = 64;

/** Where one part of a configuration lies. */
export interface ObjectRef {
  readonly section: Section;
  /** Number of the part within its section. */
  readonly bucket: number;
  readonly sha256: Sha256;
}

/** One acceptance, kept to settle lost answers. */
export interface AcceptedApply {
  readonly revision: Revision;
  /** Id that the `apply` command was given. */
  readonly apply_id: string;
}

/** Names the configuration in force. */
export interface Head {
  readonly revision: Revision;
  readonly objects: readonly ObjectRef[];
  /** Latest first, at most `REMEMBERED_APPLIES`. */
  readonly accepted: readonly AcceptedApply[];
  /** When it was accepted, in milliseconds since 1970, by the operator's clock. */
  readonly accepted_at_ms: number;
}

/** Returns the platform key of the object with this content. */
export function objectKey(sha256: Sha256): string {
  return `configuration/objects/${sha256}`;
}

/** Returns the revision that `applyId` was accepted as, if the head still tells. */
export function acceptedRevision(
  head: Head | undefined,
  applyId: string,
): Revision | undefined {
  return head?.accepted.find((a) => a.apply_id === applyId)?.revision;
}

/** Returns the head that accepts `objects` after `previous`. */
export function nextHead(
  previous: Head | undefined,
  next: {
    readonly objects: readonly ObjectRef[];
    readonly applyId: string;
    readonly nowMs: number;
  },
): Head {
  const revision = ((previous?.revision ?? 0) + 1) as Revision;
  const apply = { revision, apply_id: next.applyId };
  const accepted = [apply, ...(previous?.accepted ?? [])];
  return {
    revision,
    objects: next.objects,
    accepted: accepted.slice(0, REMEMBERED_APPLIES),
    accepted_at_ms: next.nowMs,
  };
}
