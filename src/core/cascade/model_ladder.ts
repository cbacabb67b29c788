/** Chooses among models of unlike size, by how sure the smaller one is of its answer. */

import type { ModelId } from "../ids.ts";
import { mayRunAgain, type Route } from "../routes/route.ts";
import type { PredictedRun } from "./model_pace.ts";

/**
 * Confidence from which an answer is passed on where a larger model would still answer
 * in time. A sketch did alike at 50 and 70 and worse at 85; 65 lies between, and was not
 * measured against its neighbours.
 */
const CONFIDENT = 65;
/**
 * The same where the larger model's answer would come late: a late answer is worth a
 * third to a half, so the small one's must be likely wrong.
 */
const CONFIDENT_IF_LATE = 35;
/** Part of the predicted time that must be left at least; predictions are means. */
const NEEDED_PART = 0.85;

/** What is known when the head of an answer has come. */
export interface LadderInput {
  /** Smallest first. */
  readonly models: readonly ModelId[];
  readonly model: ModelId;
  /** 0 to 100, undefined where the server does not say. */
  readonly confidence: number | undefined;
  /** Time since the request came, in milliseconds. */
  readonly usedMs: number;
  /** Time within which the answer should begin, in milliseconds. */
  readonly targetMs: number;
  /** Time after which the answer is of no use, in milliseconds. */
  readonly limitMs: number;
  /** What the largest model takes lately; undefined before it was used. */
  readonly largest: PredictedRun | undefined;
  /** Further runs that the route allows. */
  readonly runsLeft: number;
}

/**
 * Returns the model to begin with: the smallest, or the largest where an attempt may run
 * only once and so cannot be asked of another model afterwards.
 */
export function firstModel(route: Route): ModelId | undefined {
  return mayRunAgain(route) ? route.models[0] : route.models.at(-1);
}

/** Returns the larger model to ask instead; undefined when the answer should be passed on. */
export function escalateTo(input: LadderInput): ModelId | undefined {
  const { models, model, confidence, runsLeft } = input;
  if (confidence === undefined || runsLeft < 1) return undefined;
  if (!hasTime(input)) return undefined;
  const enough = beginsInTime(input) ? CONFIDENT : CONFIDENT_IF_LATE;
  if (confidence >= enough) return undefined;
  const largest = models.at(-1);
  return largest === model ? undefined : largest;
}

function hasTime({ usedMs, limitMs, largest }: LadderInput): boolean {
  const needed = NEEDED_PART * (largest?.totalMs ?? 0);
  return usedMs + needed < limitMs;
}

function beginsInTime({ usedMs, targetMs, largest }: LadderInput): boolean {
  return usedMs + (largest?.firstMs ?? 0) < targetMs;
}
