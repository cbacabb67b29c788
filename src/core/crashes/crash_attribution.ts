/**
 * Attributes server crashes to their causes, as opposed to bystanders that ran on the same
 * servers. Each crash has only one cause: the hypothesis with the most crashes explains all of its
 * crashes, which then no longer count for others, because a bystander may have run on several of
 * the same servers.
 */

import type { ServerIncarnation } from "../ids.ts";
import { CRASH_LIMIT, type ServerCrash } from "./crash.ts";
import { type Hypothesis, isSubset } from "./crash_hypotheses.ts";

/**
 * Crashes that name a culprit if some of them hit one server again, for want of another. They are
 * weaker evidence, as that server may be the cause.
 */
const REPEATED_CRASH_LIMIT = 5;

/** Approximate maximum delay of a crash report on its way to this VM. */
const MAX_REPORT_DELAY_MS = 1_000;

/** Returns the hypotheses that are the cause of crashes, each with all of its crashes. */
export function findCulprits(
  hypotheses: readonly Hypothesis[],
): readonly Hypothesis[] {
  const found: Hypothesis[] = [];
  const explained = new Set<ServerIncarnation>();
  // Only hypotheses with as many crashes can be culprits or their rivals.
  let open = hypotheses.filter(({ crashes }) => crashes.length >= CRASH_LIMIT);
  for (;;) {
    const unexplained = open
      .map((hypothesis) => ({
        ...hypothesis,
        crashes: hypothesis.crashes.filter(({ life }) => !explained.has(life)),
      }))
      .sort(byLikelihood);
    const next = unexplained.find((one) =>
      isCulprit(one, unexplained) && !isCovered(one, unexplained)
    );
    if (next === undefined) return found;
    found.push(...open.filter(({ id }) => id === next.id));
    open = open.filter(({ id }) => id !== next.id);
    for (const { life } of next.crashes) explained.add(life);
  }
}

/** The most crashes first; among equals the hypothesis that fewer requests match. */
function byLikelihood(a: Hypothesis, b: Hypothesis): number {
  return b.crashes.length - a.crashes.length || b.keys.size - a.keys.size;
}

function isCulprit(
  suspect: Hypothesis,
  hypotheses: readonly Hypothesis[],
): boolean {
  const { crashes } = suspect;
  if (crashes.length < CRASH_LIMIT) return false;
  // One with at least as many crashes may be the culprit too; the next runs will decide. One with
  // fewer of the same keys is no rival: it has these crashes in any case.
  const rivals = hypotheses.filter((other) =>
    other.id !== suspect.id && other.crashes.length >= crashes.length &&
    !isSubset(other.keys, suspect.keys)
  );
  const shared = new Set(
    rivals.flatMap((other) => other.crashes.map(({ life }) => life)),
  );
  const unshared = crashes.filter(({ life }) => !shared.has(life));
  return countSequentialCrashes(unshared) >= CRASH_LIMIT ||
    countSequentialCrashes(unshared, { isRepeatKnown: true }) >=
      REPEATED_CRASH_LIMIT;
}

/**
 * Whether several sets of parts that each hold this one explain all of its crashes. A part that
 * all requests share has the crashes of each part that crashes servers, and must not be blamed.
 */
function isCovered(
  { keys, crashes }: Hypothesis,
  hypotheses: readonly Hypothesis[],
): boolean {
  const narrower = hypotheses.filter((other) =>
    other.isParts && other.keys.size > keys.size &&
    isSubset(keys, other.keys) && isCulprit(other, hypotheses)
  );
  const explained = new Set(
    narrower.flatMap((other) => other.crashes.map(({ life }) => life)),
  );
  return narrower.length > 1 &&
    crashes.every(({ life }) => explained.has(life));
}

/**
 * Counts crashes in sequence, each under a run that began after the previous crash. Servers that
 * fail together are no evidence against a request that ran on all of them, such as one that many
 * callers send concurrently. Nor is one server that fails repeatedly: if the service has at least
 * `CRASH_LIMIT` servers, only crashes of distinct servers count. With `isRepeatKnown`, a further
 * crash of a server counts as well if the sender knew of the earlier one: it prefers servers that
 * have not crashed, so that it had no other.
 */
export function countSequentialCrashes(
  crashes: readonly ServerCrash[],
  { isRepeatKnown = false }: { isRepeatKnown?: boolean } = {},
): number {
  const serviceSize = Math.max(0, ...crashes.map((one) => one.serviceSize));
  const mayRepeatServer = serviceSize < CRASH_LIMIT;
  const byEndTime = [...crashes].sort((a, b) => a.endedMs - b.endedMs);
  const sequence: ServerCrash[] = [];
  for (const crash of byEndTime) {
    const last = sequence.at(-1);
    if (last !== undefined && !beganAfter(crash, last)) continue;
    const earlier = sequence.filter(({ address }) => address === crash.address);
    const isKnown = isRepeatKnown &&
      earlier.every(({ life }) => crash.after.includes(life));
    if (earlier.length > 0 && !mayRepeatServer && !isKnown) continue;
    sequence.push(crash);
  }
  return sequence.length;
}

/**
 * Whether a run began after an earlier crash: either the VM that sent the request knew of that
 * crash, or the crash is so long ago that the delay of the reports cannot have reversed the order.
 */
function beganAfter(crash: ServerCrash, earlier: ServerCrash): boolean {
  return crash.after.includes(earlier.life) ||
    crash.beganMs - earlier.endedMs >= MAX_REPORT_DELAY_MS;
}
