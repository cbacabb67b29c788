/** Predicts how long a request keeps a server busy. */

import type { ModelId } from "../core/ids.ts";
import type { EngineProfile, Service } from "../core/routes/route.ts";
import type { PrefillTimeEstimator } from "../core/servers/prefill_time_estimator.ts";
import type { CallerHead } from "../platform/header_wire.ts";

/** Prompt tokens that a model server reads in a millisecond, before any was watched. */
const PROMPT_TOKENS_PER_MS = 20;
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

/** What a request is sent for. */
export interface WorkTarget {
  readonly service: Service | undefined;
  readonly model: ModelId | undefined;
}

/** Prompt tokens that no other request shares. */
export function ownTokens(
  { promptParts, promptTokens }: CallerHead,
): number {
  const shared = promptParts.slice(0, -1)
    .reduce((sum, part) => sum + part.tokens, 0);
  return Math.max(0, promptTokens - shared);
}

/** Predicts the work of requests by the pace that was learnt. */
export class WorkPredictor {
  readonly #readPace: PrefillTimeEstimator;

  constructor(
    { prefillTimeEstimator }: { prefillTimeEstimator: PrefillTimeEstimator },
  ) {
    this.#readPace = prefillTimeEstimator;
  }

  /** Predicts the work of a request with one model. */
  predict(head: CallerHead, { service, model }: WorkTarget): PredictedWork {
    const engine = service?.engine;
    if (service === undefined || engine === undefined) {
      return { readMs: PLAIN_WORK_MS, writeMs: 0, sharedMs: 0 };
    }
    const own = ownTokens(head);
    const shared = Math.max(0, head.promptTokens - own);
    const size = relativeSize(engine, model);
    const learnt = model === undefined
      ? undefined
      : this.#readPace.msPerToken(service.id, model);
    const msPerToken = learnt ?? size / PROMPT_TOKENS_PER_MS;
    return {
      readMs: 1 + msPerToken * own,
      writeMs: size * head.outputTokens * MS_PER_OUTPUT_TOKEN,
      sharedMs: msPerToken * shared,
    };
  }
}

/** Dearer models are slower, roughly in proportion; the dearest has 1. */
function relativeSize(
  engine: EngineProfile,
  model: ModelId | undefined,
): number {
  const costs = engine.models.map(({ costPer1kTokens }) => costPer1kTokens);
  const most = Math.max(...costs);
  const cost = engine.models.find(({ id }) => id === model)?.costPer1kTokens;
  if (cost === undefined || most <= 0) return 1;
  return Math.max(LEAST_PACE, cost / most);
}
