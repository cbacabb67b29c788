/** How long models take lately, by route; learnt from the answers themselves. */

import type { ModelId, RouteId } from "../ids.ts";

/** Weight of the newest answer; some ten answers make up the estimate. */
const WEIGHT = 0.12;

/** Part of the time to the first token that grows with the request's own prompt. */
const OWN_PART = 0.6;

/** Predicted times of a run, in milliseconds. */
export interface PredictedRun {
  readonly firstMs: number;
  readonly totalMs: number;
}

/** One finished run. */
export interface FinishedRun {
  readonly route: RouteId;
  readonly model: ModelId;
  readonly firstMs: number;
  readonly totalMs: number;
  readonly promptTokens: number;
  /** Tokens that might have been generated, at most. */
  readonly outputTokens: number;
}

/** What a run is predicted for. */
export interface RunSize {
  readonly model: ModelId;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

interface Row {
  firstMs: number;
  promptTokens: number;
  msPerToken: number;
}

/** Running means of first-token times and of the pace after them. */
export class ModelPace {
  readonly #rows = new Map<string, Row>();

  /** Takes in a finished run. */
  observe(run: FinishedRun): void {
    const key = `${run.route}/${run.model}`;
    const tokens = Math.max(1, run.outputTokens);
    const msPerToken = Math.max(0, run.totalMs - run.firstMs) / tokens;
    const row = this.#rows.get(key);
    if (row === undefined) {
      const { firstMs, promptTokens } = run;
      this.#rows.set(key, { firstMs, promptTokens, msPerToken });
      return;
    }
    row.firstMs += WEIGHT * (run.firstMs - row.firstMs);
    row.promptTokens += WEIGHT * (run.promptTokens - row.promptTokens);
    row.msPerToken += WEIGHT * (msPerToken - row.msPerToken);
  }

  /** Predicts a run; undefined before the first was seen. */
  predict(
    route: RouteId,
    { model, promptTokens, outputTokens }: RunSize,
  ): PredictedRun | undefined {
    const row = this.#rows.get(`${route}/${model}`);
    if (row === undefined) return undefined;
    // First tokens wait for the prompt to be read; half of the wait is that of others.
    const size = promptTokens / Math.max(1, row.promptTokens);
    const firstMs = row.firstMs * (OWN_PART * size + 1 - OWN_PART);
    const { msPerToken } = row;
    return { firstMs, totalMs: firstMs + msPerToken * outputTokens };
  }
}
