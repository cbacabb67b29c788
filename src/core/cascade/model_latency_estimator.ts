/** Estimates the latency of models per route from their recent runs. */

import type { ModelId, RouteId } from "../ids.ts";

/** Weight of the newest run in the moving averages; about ten runs make up the estimate. */
const EWMA_WEIGHT = 0.12;

/** Fraction of the time to the first token that scales with the request's own prompt. */
const OWN_PROMPT_FRACTION = 0.6;

/** Predicted times of a run, in milliseconds. */
export interface PredictedRun {
  readonly firstMs: number;
  readonly totalMs: number;
}

/** A completed run of a model. */
export interface CompletedRun {
  readonly route: RouteId;
  readonly model: ModelId;
  readonly firstMs: number;
  readonly totalMs: number;
  readonly promptTokens: number;
  /** Maximum number of tokens that may have been generated. */
  readonly outputTokens: number;
}

/** Model and size of a run to predict. */
export interface RunSize {
  readonly model: ModelId;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

interface Averages {
  firstMs: number;
  promptTokens: number;
  msPerToken: number;
}

/** Exponential moving averages of the time to the first token and the time per token. */
export class ModelLatencyEstimator {
  readonly #averages = new Map<string, Averages>();

  /** Updates the averages with a completed run. */
  observe(run: CompletedRun): void {
    const key = `${run.route}/${run.model}`;
    const tokens = Math.max(1, run.outputTokens);
    const msPerToken = Math.max(0, run.totalMs - run.firstMs) / tokens;
    const averages = this.#averages.get(key);
    if (averages === undefined) {
      const { firstMs, promptTokens } = run;
      this.#averages.set(key, { firstMs, promptTokens, msPerToken });
      return;
    }
    averages.firstMs += EWMA_WEIGHT * (run.firstMs - averages.firstMs);
    averages.promptTokens += EWMA_WEIGHT *
      (run.promptTokens - averages.promptTokens);
    averages.msPerToken += EWMA_WEIGHT * (msPerToken - averages.msPerToken);
  }

  /** Predicts a run; undefined before the first completed run. */
  predict(
    route: RouteId,
    { model, promptTokens, outputTokens }: RunSize,
  ): PredictedRun | undefined {
    const averages = this.#averages.get(`${route}/${model}`);
    if (averages === undefined) return undefined;
    // The first token follows the prefill; about half of the wait is caused by other requests.
    const relativeSize = promptTokens / Math.max(1, averages.promptTokens);
    const firstMs = averages.firstMs *
      (OWN_PROMPT_FRACTION * relativeSize + 1 - OWN_PROMPT_FRACTION);
    const { msPerToken } = averages;
    return { firstMs, totalMs: firstMs + msPerToken * outputTokens };
  }
}
