/**
 * Tells requests that crash servers from those that were beside. Each end of a server needs one
 * culprit only: the request under which the most servers have ended explains those ends, and
 * they no longer speak against any other: innocent ones may have run on several of the same.
 */

import type { RequestKey, ServerIncarnation } from "../ids.ts";
import type { Crash } from "./crash.ts";

/** Servers that may end under one request: the bound that the users set. */
export const CRASH_LIMIT = 3;

/** News may have been on its way to this VM for up to about this long, in milliseconds. */
const NEWS_MS = 1_000;

/** A request, and the servers that ended under it since it last ended well. */
export interface Suspect {
  readonly request: RequestKey;
  readonly crashes: readonly Crash[];
}

/** Returns the requests that crash the servers that run them. */
export function findPoison(
  suspects: readonly Suspect[],
): ReadonlySet<RequestKey> {
  const found = new Set<RequestKey>();
  const explained = new Set<ServerIncarnation>();
  for (;;) {
    const open = suspects
      .filter(({ request }) => !found.has(request))
      .map(({ request, crashes }) => ({
        request,
        crashes: crashes.filter(({ life }) => !explained.has(life)),
      }))
      .sort((a, b) => b.crashes.length - a.crashes.length);
    const next = open.find((suspect) => isPoison(suspect, open));
    if (next === undefined) return found;
    found.add(next.request);
    for (const { life } of next.crashes) explained.add(life);
  }
}

function isPoison(suspect: Suspect, open: readonly Suspect[]): boolean {
  const { request, crashes } = suspect;
  if (crashes.length < CRASH_LIMIT) return false;
  // Who has seen as many servers end may be the culprit as well; their next runs will tell.
  const rivals = open.filter((other) =>
    other.request !== request && other.crashes.length >= crashes.length
  );
  const shared = new Set(
    rivals.flatMap((other) => other.crashes.map(({ life }) => life)),
  );
  const own = crashes.filter(({ life }) => !shared.has(life));
  return longestSequence(own) >= CRASH_LIMIT;
}

/**
 * Counts servers that ended one after the other, each under a run that began after the last end.
 * Servers that fail together say nothing about a request that ran on all of them, such as
 * one that many callers make at once. Neither does one server that fails again and again: where
 * there are as many, the servers must be different ones.
 */
export function longestSequence(crashes: readonly Crash[]): number {
  const serviceSize = Math.max(0, ...crashes.map((one) => one.serviceSize));
  const mayComeBack = serviceSize < CRASH_LIMIT;
  const inOrder = [...crashes].sort((a, b) => a.endedMs - b.endedMs);
  const sequence: Crash[] = [];
  for (const crash of inOrder) {
    const last = sequence.at(-1);
    if (last !== undefined && !cameAfter(crash, last)) continue;
    const again = sequence.some(({ address }) => address === crash.address);
    if (again && !mayComeBack) continue;
    sequence.push(crash);
  }
  return sequence.length;
}

/**
 * Whether a run began after an earlier end: its sender knew of that end, or it lies so far back
 * that what news took on its way to this VM cannot have turned their order round.
 */
function cameAfter(crash: Crash, earlier: Crash): boolean {
  return crash.after.includes(earlier.life) ||
    crash.beganMs - earlier.endedMs >= NEWS_MS;
}
