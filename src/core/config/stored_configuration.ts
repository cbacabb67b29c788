/** Storage format of a configuration in the platform: a head and the objects that it references. */

import type { Revision, Sha256 } from "../ids.ts";
import type { Section } from "./configuration.ts";

/** Key of the head; its conditional update accepts a configuration. */
export const HEAD_KEY = "configuration/head";

/** Maximum size of a value in the platform, in bytes. */
export const MAX_VALUE_BYTES = 1_000_000;

/** Number of acceptances recorded in the head, to resolve an apply whose response was lost. */
export const MAX_RECORDED_APPLIES = 64;

/** Reference to an object that stores a part of a configuration. */
export interface ObjectRef {
  readonly section: Section;
  /** Index of the part within its section. */
  readonly bucket: number;
  readonly sha256: Sha256;
}

/** An acceptance, recorded to resolve an apply whose response was lost. */
export interface AcceptedApply {
  readonly revision: Revision;
  /** Id passed to the `apply` command. */
  readonly apply_id: string;
}

/** References the objects of the configuration in force. */
export interface Head {
  readonly revision: Revision;
  readonly objects: readonly ObjectRef[];
  /** Latest first, at most `MAX_RECORDED_APPLIES`. */
  readonly accepted: readonly AcceptedApply[];
  /** Time of acceptance by the operator's clock, in milliseconds since the Unix epoch. */
  readonly accepted_at_ms: number;
}

/** Returns the platform key of the object whose content has this hash. */
export function objectKey(sha256: Sha256): string {
  return `configuration/objects/${sha256}`;
}

/** Returns the revision accepted for `applyId`, if the head still records it. */
export function acceptedRevision(
  head: Head | undefined,
  applyId: string,
): Revision | undefined {
  return head?.accepted.find((a) => a.apply_id === applyId)?.revision;
}

/** Returns the head that succeeds `previous` and accepts `objects`. */
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
    accepted: accepted.slice(0, MAX_RECORDED_APPLIES),
    accepted_at_ms: next.nowMs,
  };
}
