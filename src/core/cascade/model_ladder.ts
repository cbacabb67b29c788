/** Chooses among models of unlike size, by how sure the smaller one is of its answer. */

import type { ModelId } from "../ids.ts";
import { mayRunMoreThanOnce, type Route } from "../routes/route.ts";
import type { PredictedRun } from "./model_pace.ts";

/**
 * Confidence from which an answer is passed on where a larger model would begin well in
 * time. A right answer of the largest model seldom says less; and each answer that goes on
 * takes some ten times the small one's time from all others.
 */
const CONFIDENT = 45;
/**
 * The same where the larger model's answer would come late: a late answer is worth a
 * third to a half, and to make it holds up others who could still be in time.
 */
const CONFIDENT_IF_LATE = 20;
/** Part of the latency objective up to which a predicted beginning is well in time. */
const SURE_PART = 0.6;
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
  /** Time until the largest model would begin, by the work under way; in milliseconds. */
  readonly startMs: number;
  /** Further runs that the route allows. */
  readonly runsLeft: number;
}

/**
 * Returns the model to begin with: the smallest, or the largest where an attempt may run
 * only once and so cannot be asked of another model afterwards.
 */
export function firstModel(route: Route): ModelId | undefined {
  return mayRunMoreThanOnce(route) ? route.models[0] : route.models.at(-1);
}

/** Returns the larger model to ask instead; undefined when the answer should be passed on. */
export function escalateTo(input: LadderInput): ModelId | undefined {
  const { models, model, confidence, runsLeft } = input;
  if (confidence === undefined || runsLeft < 1) return undefined;
  if (!hasTime(input)) return undefined;
  if (confidence >= confidenceNeeded(input)) return undefined;
  const largest = models.at(-1);
  return largest === model ? undefined : largest;
}

/**
 * Whether the larger model could still answer in time; otherwise an answer that is ready
 * would be dropped for one that nobody gets.
 */
function hasTime({ usedMs, limitMs, startMs, largest }: LadderInput): boolean {
  const needed = NEEDED_PART * (largest?.totalMs ?? 0);
  return usedMs + Math.max(startMs, needed) < limitMs;
}

/** Less, the later the larger model would begin: none is asked for what comes too late. */
function confidenceNeeded({ usedMs, targetMs, startMs }: LadderInput): number {
  const part = (usedMs + startMs) / targetMs;
  const late = Math.min(1, Math.max(0, (part - SURE_PART) / (1 - SURE_PART)));
  return CONFIDENT + late * (CONFIDENT_IF_LATE - CONFIDENT);
}
