/** Predicts how long a request keeps a server busy, for comparing servers. */

import type { ModelId } from "../core/ids.ts";
import type { EngineProfile, Service } from "../core/routes/route.ts";
import type { CallerHead } from "../platform/header_wire.ts";

/** Prompt tokens that a model server reads in a millisecond; of the order of 50. */
const PROMPT_TOKENS_PER_MS = 50;
/** Generated tokens are made for many requests at once; share of each in milliseconds. */
const MS_PER_OUTPUT_TOKEN = 0.3;
/** Work of a request to a plain service; only compared with others of its kind. */
const PLAIN_WORK_MS = 20;
/** Small models are not faster than this part of the dearest one's time. */
const LEAST_PACE = 0.1;

/** Predicted parts of a request's work, in milliseconds of a server. */
export interface PredictedWork {
  /** Until the first token: reading what is new of the prompt. */
  readonly readMs: number;
  /** After the first token. */
  readonly writeMs: number;
  /** What reading the shared parts costs a server that does not hold them. */
  readonly sharedMs: number;
}

/** Predicts the work of a request with one model. */
export function predictWork(
  head: CallerHead,
  { service, model }: {
    service: Service | undefined;
    model: ModelId | undefined;
  },
): PredictedWork {
  const engine = service?.engine;
  if (engine === undefined) {
    return { readMs: PLAIN_WORK_MS, writeMs: 0, sharedMs: 0 };
  }
  const shared = head.promptParts.slice(0, -1)
    .reduce((sum, part) => sum + part.tokens, 0);
  const own = Math.max(0, head.promptTokens - shared);
  const pace = paceOf(engine, model);
  return {
    readMs: 1 + pace * own / PROMPT_TOKENS_PER_MS,
    writeMs: pace * head.outputTokens * MS_PER_OUTPUT_TOKEN,
    sharedMs: pace * shared / PROMPT_TOKENS_PER_MS,
  };
}

/** Dearer models are slower, roughly in proportion; the dearest has 1. */
function paceOf(engine: EngineProfile, model: ModelId | undefined): number {
  const costs = engine.models.map(({ costPer1kTokens }) => costPer1kTokens);
  const most = Math.max(...costs);
  const cost = engine.models.find(({ id }) => id === model)?.costPer1kTokens;
  if (cost === undefined || most <= 0) return 1;
  return Math.max(LEAST_PACE, cost / most);
}
