/** Chooses among models of different sizes by the confidence of the smaller one. */

import type { ModelId } from "../ids.ts";
import { mayRunMoreThanOnce, type Route } from "../routes/route.ts";
import type { PredictedRun } from "./model_latency_estimator.ts";

/**
 * Confidence from which an answer is returned if a larger model would start well in time. Correct
 * answers of the largest model rarely have less, and each escalated answer takes about ten times
 * the small model's time, at the expense of all other requests.
 */
const MIN_CONFIDENCE = 45;
/**
 * The same if the larger model's answer would be late: a late answer is worth a third to a half,
 * and generating it delays other requests that could still be in time.
 */
const MIN_CONFIDENCE_IF_LATE = 20;
/** Fraction of the latency target up to which a predicted start is well in time. */
const IN_TIME_FRACTION = 0.6;
/** Minimum fraction of the predicted duration that must remain; predictions are means. */
const MIN_REMAINING_FRACTION = 0.85;

/** State of a request when the head of a response has been received. */
export interface EscalationContext {
  /** Models in ascending order of size. */
  readonly models: readonly ModelId[];
  readonly model: ModelId;
  /** Confidence from 0 to 100; undefined if the server does not report it. */
  readonly confidence: number | undefined;
  /** Time since the request was received, in milliseconds. */
  readonly usedMs: number;
  /** Latency target for the start of the answer, in milliseconds. */
  readonly targetMs: number;
  /** Time after which the answer is useless, in milliseconds. */
  readonly limitMs: number;
  /** Predicted run of the largest model; undefined before its first run. */
  readonly largest: PredictedRun | undefined;
  /** Predicted time until the largest model starts, by work in flight, in milliseconds. */
  readonly largestStartMs: number;
  /** Number of further runs that the route allows. */
  readonly runsLeft: number;
}

/**
 * Returns the model to start with: the smallest, or the largest if the request may run only once
 * and therefore cannot be sent to another model afterwards.
 */
export function initialModel(route: Route): ModelId | undefined {
  return mayRunMoreThanOnce(route) ? route.models[0] : route.models.at(-1);
}

/** Returns the larger model to escalate to; undefined if the answer should be returned. */
export function escalationTarget(
  input: EscalationContext,
): ModelId | undefined {
  const { models, model, confidence, runsLeft } = input;
  if (confidence === undefined || runsLeft < 1) return undefined;
  if (!hasTime(input)) return undefined;
  if (confidence >= minConfidence(input)) return undefined;
  const largest = models.at(-1);
  return largest === model ? undefined : largest;
}

/**
 * Whether the larger model could still answer in time; otherwise a finished answer would be
 * discarded for one that is never delivered.
 */
function hasTime(
  { usedMs, limitMs, largestStartMs, largest }: EscalationContext,
): boolean {
  const needed = MIN_REMAINING_FRACTION * (largest?.totalMs ?? 0);
  return usedMs + Math.max(largestStartMs, needed) < limitMs;
}

/** Decreases with the delay of the larger model, to avoid escalating for late answers. */
function minConfidence(
  { usedMs, targetMs, largestStartMs }: EscalationContext,
): number {
  const elapsedFraction = (usedMs + largestStartMs) / targetMs;
  const lateness = Math.min(
    1,
    Math.max(0, (elapsedFraction - IN_TIME_FRACTION) / (1 - IN_TIME_FRACTION)),
  );
  return MIN_CONFIDENCE + lateness * (MIN_CONFIDENCE_IF_LATE - MIN_CONFIDENCE);
}
