/** Estimates the prefill time of model servers per prompt token from observed times to first token. */

import type { ModelId, ServiceId } from "../ids.ts";

/** Part of the time to first token that does not depend on the prompt length, in milliseconds. */
const BASE_MS = 20;
/** Shortest prompt that is evaluated, in tokens; in shorter ones, fixed latency dominates. */
const MIN_TOKENS = 500;
/** Samples kept per model: about the last minute on a busy VM. */
const MAX_SAMPLES = 64;
/** Samples required before there is an estimate; callers use a default until then. */
const MIN_SAMPLES = 6;
/**
 * Quantile of the times per token that is used as the estimate. It is low because many samples
 * include time in a queue or for shared parts of the prompt.
 */
const QUANTILE = 0.15;
/** Number of samples after which the estimate is recomputed. */
const RECOMPUTE_INTERVAL = 4;

/** Observation of a first token. */
export interface PrefillSample {
  readonly service: ServiceId;
  readonly model: ModelId;
  /** Prompt tokens that the server had to process: those not shared with other prompts. */
  readonly tokens: number;
  /** Time from sending the request to the first byte, in milliseconds. */
  readonly elapsedMs: number;
}

interface Estimate {
  readonly msPerToken: number[];
  count: number;
  value: number | undefined;
}

/** Estimates by service and model. */
export class PrefillTimeEstimator {
  readonly #estimates = new Map<string, Estimate>();

  /** Records an observation. */
  observe({ service, model, tokens, elapsedMs }: PrefillSample): void {
    if (tokens < MIN_TOKENS) return;
    const estimate = this.#estimateOf(service, model);
    estimate.msPerToken[estimate.count % MAX_SAMPLES] =
      Math.max(0, elapsedMs - BASE_MS) /
      tokens;
    estimate.count += 1;
    if (
      estimate.count >= MIN_SAMPLES && estimate.count % RECOMPUTE_INTERVAL === 0
    ) {
      estimate.value = quantile(estimate.msPerToken);
    }
  }

  /** Estimated milliseconds per prompt token; undefined before there are enough samples. */
  msPerToken(service: ServiceId, model: ModelId): number | undefined {
    return this.#estimates.get(`${service}/${model}`)?.value;
  }

  #estimateOf(service: ServiceId, model: ModelId): Estimate {
    const key = `${service}/${model}`;
    const known = this.#estimates.get(key);
    if (known !== undefined) return known;
    const estimate: Estimate = { msPerToken: [], count: 0, value: undefined };
    this.#estimates.set(key, estimate);
    return estimate;
  }
}

function quantile(values: readonly number[]): number | undefined {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(QUANTILE * sorted.length)];
}
