/** Packs reports of server crashes into a digest of limited size. */

import type { Crash } from "../core/crashes/crash.ts";
import {
  MAX_DIGEST_CRASH_PARTS,
  MAX_DIGEST_CRASHES,
  type VmDigest,
} from "../protocol/digest_schema.ts";
import { advertisedAgeMs } from "../protocol/store_schema.ts";

/** Characters of all entries together, well below the largest message that a VM accepts. */
const MAX_CHARS = 400_000;
/** Characters of an entry besides its texts: names of fields, punctuation and numbers. */
const ENTRY_CHARS = 200;
/** Quotation marks and a comma around each text of a list. */
const TEXT_CHARS = 3;

/** One entry of a digest. */
type CrashEntry = VmDigest["crashes"]["ends"][number];

/** A crash, and how many of its parts are packed, from `start` on. */
interface Packing {
  readonly crash: Crash;
  readonly start: number;
  packed: number;
}

/**
 * Packs crashes, the latest first. One with many prompt parts takes several entries, which VMs merge.
 * If not all fit, each crash gets its share, and parts from another place of its list in each `round`,
 * so that several digests carry all of them.
 */
export function packCrashes(
  crashes: readonly Crash[],
  { nowMs, round }: { nowMs: number; round: number },
): CrashEntry[] {
  const entries: CrashEntry[] = [];
  let chars = 0;
  let open: Packing[] = [...crashes]
    .sort((a, b) => b.endedMs - a.endedMs)
    .map((crash) => ({
      crash,
      start: startOf(crash.parts.length, round),
      packed: 0,
    }));
  while (open.length > 0) {
    for (const packing of open) {
      const entry = nextEntry(packing, nowMs);
      chars += charsOf(entry);
      if (entries.length === MAX_DIGEST_CRASHES || chars > MAX_CHARS) {
        return entries;
      }
      entries.push(entry);
    }
    open = open.filter(({ crash, packed }) => packed < crash.parts.length);
  }
  return entries;
}

function startOf(parts: number, round: number): number {
  return parts <= MAX_DIGEST_CRASH_PARTS
    ? 0
    : (round * MAX_DIGEST_CRASH_PARTS) % parts;
}

function nextEntry(packing: Packing, nowMs: number): CrashEntry {
  const { crash, start, packed } = packing;
  const { beganMs, endedMs, parts, after, ...fields } = crash;
  const count = Math.min(MAX_DIGEST_CRASH_PARTS, parts.length - packed);
  const chunk = Array.from(
    { length: count },
    (_, n) => parts[(start + packed + n) % parts.length],
  ).filter((part) => part !== undefined);
  packing.packed += count;
  return {
    ...fields,
    parts: chunk,
    after: packed === 0 ? after : [],
    beganAgeMs: advertisedAgeMs(nowMs - beganMs),
    endedAgeMs: advertisedAgeMs(nowMs - endedMs),
  };
}

function charsOf({ parts, after, request, account }: CrashEntry): number {
  const texts = [request, account ?? "", ...parts, ...after];
  return texts.reduce(
    (sum, { length }) => sum + length + TEXT_CHARS,
    ENTRY_CHARS,
  );
}
