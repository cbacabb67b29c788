/** Chooses among models of unlike size, by how sure the smaller one is of its answer. */

import type { ModelId } from "../ids.ts";

/** Confidence from which an answer is passed on, where there is time for another. */
const CONFIDENT = 65;
/**
 * Part of the time limit that must be left for a run of a larger model; it reads the
 * prompt anew and is slower by several times.
 */
const TIME_LEFT_TO_ESCALATE = 0.55;

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
  /** Further runs that the route allows. */
  readonly runsLeft: number;
}

/** Returns the model to begin with. */
export function firstModel(models: readonly ModelId[]): ModelId | undefined {
  return models[0];
}

/** Returns the larger model to ask instead; undefined when the answer should be passed on. */
export function escalateTo(input: LadderInput): ModelId | undefined {
  const { models, model, confidence, usedMs, targetMs, runsLeft } = input;
  if (confidence === undefined || confidence >= CONFIDENT) return undefined;
  if (runsLeft < 1) return undefined;
  if (targetMs - usedMs < TIME_LEFT_TO_ESCALATE * targetMs) return undefined;
  const largest = models.at(-1);
  return largest === model ? undefined : largest;
}
