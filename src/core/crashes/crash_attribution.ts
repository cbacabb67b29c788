/**
 * Attributes server crashes to the requests that caused them, as opposed to bystanders that ran
 * on the same servers. Each crash has only one cause: the request with the most crashes explains
 * all of its crashes, which then no longer count against other requests, because a bystander may
 * have run on several of the same servers.
 */

import type { RequestKey, ServerIncarnation } from "../ids.ts";
import type { Crash } from "./crash.ts";

/** Maximum number of servers that one request may crash, as required by the users. */
export const CRASH_LIMIT = 3;

/** Approximate maximum delay of a crash report on its way to this VM. */
const MAX_REPORT_DELAY_MS = 1_000;

/** A request and its crashes since its last successful run. */
export interface Suspect {
  readonly request: RequestKey;
  readonly crashes: readonly Crash[];
}

/** Returns the requests that are the cause of crashes. */
export function findCrashingRequests(
  suspects: readonly Suspect[],
): ReadonlySet<RequestKey> {
  const found = new Set<RequestKey>();
  const explained = new Set<ServerIncarnation>();
  for (;;) {
    const unexplained = suspects
      .filter(({ request }) => !found.has(request))
      .map(({ request, crashes }) => ({
        request,
        crashes: crashes.filter(({ life }) => !explained.has(life)),
      }))
      .sort((a, b) => b.crashes.length - a.crashes.length);
    const next = unexplained.find((suspect) => isCulprit(suspect, unexplained));
    if (next === undefined) return found;
    found.add(next.request);
    for (const { life } of next.crashes) explained.add(life);
  }
}

function isCulprit(suspect: Suspect, suspects: readonly Suspect[]): boolean {
  const { request, crashes } = suspect;
  if (crashes.length < CRASH_LIMIT) return false;
  // A request with at least as many crashes may be the culprit too; their next runs will decide.
  const rivals = suspects.filter((other) =>
    other.request !== request && other.crashes.length >= crashes.length
  );
  const shared = new Set(
    rivals.flatMap((other) => other.crashes.map(({ life }) => life)),
  );
  const unshared = crashes.filter(({ life }) => !shared.has(life));
  return countSequentialCrashes(unshared) >= CRASH_LIMIT;
}

/**
 * Counts crashes in sequence, each under a run that began after the previous crash. Servers that
 * fail together are no evidence against a request that ran on all of them, such as one that many
 * callers send concurrently. Nor is one server that fails repeatedly: if the service has at least
 * `CRASH_LIMIT` servers, only crashes of distinct servers count.
 */
export function countSequentialCrashes(crashes: readonly Crash[]): number {
  const serviceSize = Math.max(0, ...crashes.map((one) => one.serviceSize));
  const mayRepeatServer = serviceSize < CRASH_LIMIT;
  const byEndTime = [...crashes].sort((a, b) => a.endedMs - b.endedMs);
  const sequence: Crash[] = [];
  for (const crash of byEndTime) {
    const last = sequence.at(-1);
    if (last !== undefined && !beganAfter(crash, last)) continue;
    const isRepeated = sequence.some(({ address }) =>
      address === crash.address
    );
    if (isRepeated && !mayRepeatServer) continue;
    sequence.push(crash);
  }
  return sequence.length;
}

/**
 * Whether a run began after an earlier crash: either the VM that sent the request knew of that
 * crash, or the crash is so long ago that the delay of the reports cannot have reversed the order.
 */
function beganAfter(crash: Crash, earlier: Crash): boolean {
  return crash.after.includes(earlier.life) ||
    crash.beganMs - earlier.endedMs >= MAX_REPORT_DELAY_MS;
}
