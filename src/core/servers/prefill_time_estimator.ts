/** How fast model servers read prompts, learnt from the times to their first tokens. */

import type { ModelId, ServiceId } from "../ids.ts";

/** Time to a first token that does not grow with the prompt, in milliseconds. */
const BASE_MS = 20;
/** Shorter prompts say little beside the base and the way there, in tokens. */
const MIN_TOKENS = 500;
/** Answers that are remembered of each model: of the last minute or so on a busy VM. */
const REMEMBERED = 64;
/** Answers, at least, before they count more than the prior. */
const MIN_ANSWERS = 6;
/**
 * Quantile of the times a token that is taken as the pace. Others wait in a queue or read
 * shared parts as well, so that the pace is near the least that was seen.
 */
const QUANTILE = 0.15;
/** Answers after which the pace is worked out anew. */
const RENEW_EVERY = 4;

/** A first token that has come. */
export interface PrefillSample {
  readonly service: ServiceId;
  readonly model: ModelId;
  /** Prompt tokens that the server must have read: those not shared with others. */
  readonly tokens: number;
  /** From sending to the first byte, in milliseconds. */
  readonly elapsedMs: number;
}

interface Row {
  readonly msPerToken: number[];
  count: number;
  pace: number | undefined;
}

/** Paces by service and model. */
export class PrefillTimeEstimator {
  readonly #rows = new Map<string, Row>();

  /** Takes in how long a first token took. */
  observe({ service, model, tokens, elapsedMs }: PrefillSample): void {
    if (tokens < MIN_TOKENS) return;
    const row = this.#row(service, model);
    row.msPerToken[row.count % REMEMBERED] = Math.max(0, elapsedMs - BASE_MS) /
      tokens;
    row.count += 1;
    if (row.count >= MIN_ANSWERS && row.count % RENEW_EVERY === 0) {
      row.pace = quantile(row.msPerToken);
    }
  }

  /** Milliseconds a prompt token; undefined before enough was seen. */
  msPerToken(service: ServiceId, model: ModelId): number | undefined {
    return this.#rows.get(`${service}/${model}`)?.pace;
  }

  #row(service: ServiceId, model: ModelId): Row {
    const key = `${service}/${model}`;
    const known = this.#rows.get(key);
    if (known !== undefined) return known;
    const row: Row = { msPerToken: [], count: 0, pace: undefined };
    this.#rows.set(key, row);
    return row;
  }
}

function quantile(values: readonly number[]): number | undefined {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(QUANTILE * sorted.length)];
}
