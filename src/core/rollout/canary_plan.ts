/** Plans how a canary gains traffic, step by step. */

import type { CanaryEvaluation } from "./canary_evaluation.ts";

/**
 * Initial share of a canary, as a fraction of the maximum share of requests that a bad release
 * may receive.
 */
const INITIAL_SHARE_FRACTION = 0.45;
/** Fraction of the roll-out time left for servers of the new release to become ready. */
const START_FRACTION = 0.08;
/** Fraction of the roll-out time during which sessions stay on their release. */
const SESSION_PINNING_FRACTION = 0.5;
/**
 * Fraction of the roll-out time between two doublings of a canary: the
 * sessions that a share selects, and thus their number of requests, are random.
 */
const DOUBLING_INTERVAL_FRACTION = 0.1;
/** Fraction of the exposure limit that may be used before all sessions move. */
const GRADUAL_EXPOSURE_FRACTION = 0.55;
/**
 * Fraction of the exposure limit that is planned for. The rest covers requests in flight and
 * traffic that grows until the roll-out time is over.
 */
const PLANNED_EXPOSURE_FRACTION = 0.93;
/** Fraction of the roll-out time from which it completes if the old release is idle. */
const COMPLETE_IF_IDLE_FRACTION = 0.9;
/** Fraction of the roll-out time from which it completes despite work on the old release. */
const COMPLETE_BY_FRACTION = 0.935;

/** Requests that a canary has received, and the limit on them if it is bad. */
export interface Exposure {
  readonly canaryAnswers: number;
  readonly totalAnswers: number;
  /** Maximum share of requests that a bad release may receive. */
  readonly share: number;
  /** Number of requests that it may receive in addition to that share. */
  readonly allowance: number;
}

/** State of the roll-out that the next step depends on. */
export interface CanaryPlanInput {
  /** Current share of sessions on the canary. */
  readonly share: number;
  readonly elapsedMs: number;
  readonly limitMs: number;
  /** From all answers of the canary. */
  readonly evaluation: CanaryEvaluation;
  /** From the answers since the share last grew. */
  readonly stepEvaluation: CanaryEvaluation;
  readonly exposure: Exposure;
  /** Whether servers of the canary are available. */
  readonly hasServers: boolean;
  /** Work of the whole fleet in flight on other releases, in milliseconds. */
  readonly previousReleaseWorkMs: number;
}

/** Next action of a roll-out. */
export type CanaryStep =
  | { readonly tag: "stay" }
  | { readonly tag: "share"; readonly share: number }
  | { readonly tag: "complete" }
  | { readonly tag: "roll_back" };

const STAY: CanaryStep = { tag: "stay" };

/** Returns the next step of a canary. */
export function nextCanaryStep(input: CanaryPlanInput): CanaryStep {
  const { share, evaluation, stepEvaluation, hasServers, exposure } = input;
  if (evaluation.tag === "bad" || stepEvaluation.tag === "bad") {
    return { tag: "roll_back" };
  }
  if (!hasServers) return STAY;
  const elapsed = input.elapsedMs / input.limitMs;
  if (share === 0) return startCanary(elapsed, exposure.share);
  if (share === 1) return complete(input, elapsed);
  if (elapsed < SESSION_PINNING_FRACTION) return STAY;
  const canMoveAll = evaluation.tag === "sound" &&
    isWithinExposureLimit(exposure, {
      elapsed,
      share: 1,
      fraction: PLANNED_EXPOSURE_FRACTION,
    });
  if (canMoveAll) return { tag: "share", share: 1 };
  return growGradually(input, elapsed);
}

/** Returns the fraction of the roll-out time at which a share is planned to be reached. */
export function plannedTimeOfShare(share: number): number {
  if (share <= 0) return 0;
  return share < 1 ? START_FRACTION : SESSION_PINNING_FRACTION;
}

/** Returns the share with which a canary starts. */
export function initialShare(maxShare: number): number {
  return INITIAL_SHARE_FRACTION * maxShare;
}

function startCanary(elapsed: number, maxShare: number): CanaryStep {
  if (elapsed < START_FRACTION) return STAY;
  const share = initialShare(maxShare);
  return share > 0 ? { tag: "share", share } : STAY;
}

/**
 * Doubles the share of a canary within part of its exposure limit: for more answers, and because a release
 * at a small share has idle servers, on which it answers faster than at its later load.
 */
function growGradually(
  { share, exposure }: CanaryPlanInput,
  elapsed: number,
): CanaryStep {
  const initial = initialShare(exposure.share);
  const doublings = Math.round(Math.log2(share / initial));
  if (
    elapsed < SESSION_PINNING_FRACTION + doublings * DOUBLING_INTERVAL_FRACTION
  ) return STAY;
  const next = {
    elapsed,
    share: 2 * share,
    fraction: GRADUAL_EXPOSURE_FRACTION,
  };
  const canDouble = next.share < 1 && isWithinExposureLimit(exposure, next);
  return canDouble ? { tag: "share", share: next.share } : STAY;
}

/**
 * Whether a release with this share from now on would stay within `fraction` of its exposure limit
 * even if it is found bad only later, such as one that fails once half of its servers' slots are
 * in use. A load that the traffic does not produce cannot be tested at a small share.
 */
function isWithinExposureLimit(
  { canaryAnswers, totalAnswers, share: maxShare, allowance }: Exposure,
  { elapsed, share, fraction }: {
    elapsed: number;
    share: number;
    fraction: number;
  },
): boolean {
  const remaining = Math.max(0, 1 - elapsed);
  const expected = totalAnswers / elapsed;
  const limit = fraction * (maxShare * expected + allowance);
  return canaryAnswers + share * remaining * expected <= limit;
}

/** Completion requires answers at full load, not only elapsed time. */
function complete(
  { previousReleaseWorkMs, stepEvaluation }: CanaryPlanInput,
  elapsed: number,
): CanaryStep {
  if (stepEvaluation.tag !== "sound") return STAY;
  const idle = previousReleaseWorkMs <= 0;
  const done = (idle && elapsed >= COMPLETE_IF_IDLE_FRACTION) ||
    elapsed >= COMPLETE_BY_FRACTION;
  return done ? { tag: "complete" } : STAY;
}
