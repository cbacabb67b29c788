/** Plans how a release on trial gains traffic, step by step. */

import type { Verdict } from "./trial_verdict.ts";

/** Share of sessions with which a trial begins; the rest of the bound is for the steps. */
const FIRST_SHARE = 0.07;
/** Part of the bound on a bad release's share that the beginning may use. */
const FIRST_PART_OF_BOUND = 0.5;
/** Part of the time for which servers of the new release get ready. */
const BEGIN_AT = 0.08;
/** Part of the time during which sessions keep the release that they had. */
const SESSIONS_KEPT_UNTIL = 0.5;
/** Shares after the first, and for which part of the time each is kept. */
const STEPS: readonly { readonly share: number; readonly at: number }[] = [
  { share: 0.25, at: SESSIONS_KEPT_UNTIL + 0.03 },
  { share: 0.55, at: SESSIONS_KEPT_UNTIL + 0.1 },
  { share: 1, at: SESSIONS_KEPT_UNTIL + 0.17 },
];
/** Part of the time from which a moved service is completed as soon as it is idle. */
const COMPLETE_FROM = 0.74;
/** Part of the time by which it is completed whatever still runs on the old release. */
const COMPLETE_BY = 0.86;

/** What a step depends on. */
export interface PlanInput {
  /** Share of sessions on trial now. */
  readonly share: number;
  readonly elapsedMs: number;
  readonly limitMs: number;
  readonly verdict: Verdict;
  /** Bound on a bad release's share of requests. */
  readonly trialShare: number;
  /** Whether servers of the release on trial are there. */
  readonly hasServers: boolean;
  /** Work of the whole fleet under way on the old release, in milliseconds. */
  readonly oldWorkMs: number;
}

/** What to do now. */
export type PlanStep =
  | { readonly tag: "stay" }
  | { readonly tag: "share"; readonly share: number }
  | { readonly tag: "complete" }
  | { readonly tag: "roll_back" };

/** Returns the next step of a trial. */
export function planStep(input: PlanInput): PlanStep {
  const { share, verdict, hasServers } = input;
  if (verdict.tag === "bad") return { tag: "roll_back" };
  if (!hasServers) return { tag: "stay" };
  const at = input.elapsedMs / input.limitMs;
  if (share === 0) return begin(at, input.trialShare);
  if (verdict.tag === "unsure") return { tag: "stay" };
  const next = STEPS.find((step) => step.share > share);
  if (next !== undefined) {
    return at >= next.at
      ? { tag: "share", share: next.share }
      : { tag: "stay" };
  }
  const idle = input.oldWorkMs <= 0;
  const done = (idle && at >= COMPLETE_FROM) || at >= COMPLETE_BY;
  return done ? { tag: "complete" } : { tag: "stay" };
}

/** Part of the time at which a share of sessions is reached, as planned. */
export function timeOfShare(share: number): number {
  if (share <= 0) return 0;
  const step = STEPS.find((candidate) => candidate.share === share);
  return step?.at ?? BEGIN_AT;
}

function begin(at: number, trialShare: number): PlanStep {
  if (at < BEGIN_AT) return { tag: "stay" };
  const share = Math.min(FIRST_SHARE, FIRST_PART_OF_BOUND * trialShare);
  return share > 0 ? { tag: "share", share } : { tag: "stay" };
}
