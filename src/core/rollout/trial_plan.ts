/** Plans how a release on trial gains traffic, step by step. */

import type { Verdict } from "./trial_verdict.ts";

/** Part of the bound on a bad release's share of requests with which a trial begins. */
const FIRST_PART_OF_BOUND = 0.45;
/** Part of the time for which servers of the new release get ready. */
const BEGIN_AT = 0.08;
/** Part of the time during which sessions keep the release that they had. */
const SESSIONS_KEPT_UNTIL = 0.5;
/**
 * Part of the time between two doublings of a trial whose answers do not suffice: which sessions
 * fall on it is a matter of chance.
 */
const DOUBLE_EVERY = 0.1;
/** Part of the bound that a trial may use up while it only gathers answers. */
const GATHERING_EXPOSURE = 0.55;
/**
 * Part of the bound on a bad release's requests that is planned with. The rest covers
 * requests under way, and traffic that grows until the time is up.
 */
const USED_EXPOSURE = 0.93;
/** Part of the time from which a moved service is completed as soon as it is idle. */
const COMPLETE_FROM = 0.9;
/** Part of the time by which it is completed whatever still runs on the old release. */
const COMPLETE_BY = 0.935;

/** Requests that a trial was given, and how many it may be given at most. */
export interface Exposure {
  readonly trialAnswers: number;
  readonly allAnswers: number;
  /** Bound on a bad release's share of requests. */
  readonly share: number;
  /** Requests that it may get beyond that share. */
  readonly allowance: number;
}

/** What a step depends on. */
export interface PlanInput {
  /** Share of sessions on trial now. */
  readonly share: number;
  readonly elapsedMs: number;
  readonly limitMs: number;
  /** By all answers of the trial. */
  readonly verdict: Verdict;
  /** By the answers since the share last grew. */
  readonly stepVerdict: Verdict;
  readonly exposure: Exposure;
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

const STAY: PlanStep = { tag: "stay" };

/** Returns the next step of a trial. */
export function planStep(input: PlanInput): PlanStep {
  const { share, verdict, stepVerdict, hasServers, exposure } = input;
  if (verdict.tag === "bad" || stepVerdict.tag === "bad") {
    return { tag: "roll_back" };
  }
  if (!hasServers) return STAY;
  const at = input.elapsedMs / input.limitMs;
  if (share === 0) return begin(at, exposure.share);
  if (share === 1) return complete(input, at);
  if (at < SESSIONS_KEPT_UNTIL) return STAY;
  const moves = verdict.tag === "sound" &&
    staysWithinBound(exposure, { at, share: 1, part: USED_EXPOSURE });
  if (moves) return { tag: "share", share: 1 };
  return verdict.tag === "unsure" ? gather(input, at) : STAY;
}

/** Part of the time at which a share of sessions is reached, as planned. */
export function timeOfShare(share: number): number {
  if (share <= 0) return 0;
  return share < 1 ? BEGIN_AT : SESSIONS_KEPT_UNTIL;
}

function begin(at: number, bound: number): PlanStep {
  if (at < BEGIN_AT) return STAY;
  const share = FIRST_PART_OF_BOUND * bound;
  return share > 0 ? { tag: "share", share } : STAY;
}

/** Doubles a trial from which too few answers come. */
function gather({ share, exposure }: PlanInput, at: number): PlanStep {
  const first = FIRST_PART_OF_BOUND * exposure.share;
  const doublings = Math.round(Math.log2(share / first));
  if (at < SESSIONS_KEPT_UNTIL + doublings * DOUBLE_EVERY) return STAY;
  const terms = { at, share: 2 * share, part: GATHERING_EXPOSURE };
  const may = terms.share < 1 && staysWithinBound(exposure, terms);
  return may ? { tag: "share", share: terms.share } : STAY;
}

/**
 * Whether a release that is found bad only later, as one that fails once half of its
 * servers' slots are taken, would still have got no more than `part` of what it may if it
 * had this share from now on. A load that the traffic does not bring cannot be tried at a
 * small share.
 */
function staysWithinBound(
  { trialAnswers, allAnswers, share: boundShare, allowance }: Exposure,
  { at, share, part }: { at: number; share: number; part: number },
): boolean {
  const leftPart = Math.max(0, 1 - at);
  const expected = allAnswers / at;
  const bound = part * (boundShare * expected + allowance);
  return trialAnswers + share * leftPart * expected <= bound;
}

/** A release is completed by answers that it gave at full load, not by the clock. */
function complete(
  { oldWorkMs, stepVerdict }: PlanInput,
  at: number,
): PlanStep {
  if (stepVerdict.tag !== "sound") return STAY;
  const idle = oldWorkMs <= 0;
  const done = (idle && at >= COMPLETE_FROM) || at >= COMPLETE_BY;
  return done ? { tag: "complete" } : STAY;
}
