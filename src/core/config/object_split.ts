/** Splits a configuration into content-addressed objects and joins them again. */

import type { Sha256 } from "../ids.ts";
import { type Configuration, type Section, SECTIONS } from "./configuration.ts";
import type { ObjectRef } from "./stored_configuration.ts";

/** Maximum average number of entries per object of a section. */
const MAX_AVERAGE_ENTRIES = 8;

/** Hash function, injected so that the core does not depend on libraries. */
export type HashText = (text: string) => Sha256;

/** An object to store: its reference and its JSON text. */
export interface StoredObject {
  readonly ref: ObjectRef;
  readonly text: string;
}

/** Returns the objects of `cfg`; a small change of the configuration changes few of them. */
export function splitConfiguration(
  cfg: Configuration,
  hash: HashText,
): StoredObject[] {
  return SECTIONS.flatMap((section) =>
    splitSection(section, cfg[section], hash)
  );
}

function splitSection(
  section: Section,
  entries: readonly { readonly id: string }[],
  hash: HashText,
): StoredObject[] {
  const count = bucketCount(entries.length);
  const buckets: { readonly id: string }[][] = Array.from(
    { length: count },
    () => [],
  );
  for (const entry of entries) {
    buckets[bucketOf(entry.id, { count, hash })]?.push(entry);
  }
  return buckets.map((bucket, index) => {
    bucket.sort((a, b) => (a.id < b.id ? -1 : 1));
    const text = JSON.stringify(bucket);
    return { ref: { section, bucket: index, sha256: hash(text) }, text };
  });
}

/** Returns a power of two, so that growth of a section moves entries between few objects. */
function bucketCount(entries: number): number {
  let count = 1;
  while (count * MAX_AVERAGE_ENTRIES < entries) count *= 2;
  return count;
}

function bucketOf(
  id: string,
  { count, hash }: { count: number; hash: HashText },
): number {
  const HEX_DIGITS_USED = 6;
  return parseInt(hash(id).slice(0, HEX_DIGITS_USED), 16) % count;
}

/** Joins parsed objects, given in the order of their references. */
export function joinConfiguration(
  refs: readonly ObjectRef[],
  contents: readonly unknown[],
): Configuration {
  const joined: Record<Section, unknown[]> = {
    accounts: [],
    models: [],
    cascades: [],
    roll_outs: [],
    services: [],
    backends: [],
  };
  refs.forEach((ref, index) =>
    joined[ref.section].push(...(contents[index] as unknown[]))
  );
  return joined as unknown as Configuration;
}
