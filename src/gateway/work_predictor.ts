/** Predicts how much server time a request takes. */

import type { ModelId } from "../core/ids.ts";
import type { EngineProfile, Service } from "../core/routes/route.ts";
import type { PrefillTimeEstimator } from "../core/servers/prefill_time_estimator.ts";
import type { CallerHead } from "../platform/header_wire.ts";

/** Assumed prefill speed of a model server until its speed has been observed. */
const DEFAULT_PREFILL_TOKENS_PER_MS = 20;
/** Decode time per output token and request; tokens are generated for many requests in a batch. */
const DECODE_MS_PER_OUTPUT_TOKEN = 0.3;
/** Work per request to a service without models; compared only with requests of the same kind. */
const PLAIN_SERVICE_WORK_MS = 20;
/** Lower bound for the time of a small model, relative to the most expensive one. */
const MIN_RELATIVE_TIME = 0.1;

/** Predicted server time of a request, by phase. */
export interface PredictedWork {
  /** Time to the first token: prefill of the prompt tokens that no other request shares. */
  readonly prefillMs: number;
  /** Time after the first token. */
  readonly decodeMs: number;
  /** Additional prefill of the shared prompt parts, on a server that does not have them cached. */
  readonly sharedPrefillMs: number;
}

/** Service and model that a request is sent to. */
export interface WorkTarget {
  readonly service: Service | undefined;
  readonly model: ModelId | undefined;
}

/** Number of prompt tokens that no other request shares. */
export function unsharedPromptTokens(
  { promptParts, promptTokens }: CallerHead,
): number {
  const shared = promptParts.slice(0, -1)
    .reduce((sum, part) => sum + part.tokens, 0);
  return Math.max(0, promptTokens - shared);
}

/** Predicts the work of requests from the observed prefill speed. */
export class WorkPredictor {
  readonly #readPace: PrefillTimeEstimator;

  constructor(
    { prefillTimeEstimator }: { prefillTimeEstimator: PrefillTimeEstimator },
  ) {
    this.#readPace = prefillTimeEstimator;
  }

  /** Predicts the work of a request for one service and model. */
  predict(head: CallerHead, { service, model }: WorkTarget): PredictedWork {
    const engine = service?.engine;
    if (service === undefined || engine === undefined) {
      return {
        prefillMs: PLAIN_SERVICE_WORK_MS,
        decodeMs: 0,
        sharedPrefillMs: 0,
      };
    }
    const unshared = unsharedPromptTokens(head);
    const shared = Math.max(0, head.promptTokens - unshared);
    const timeFactor = relativeTime(engine, model);
    const observed = model === undefined
      ? undefined
      : this.#readPace.msPerToken(service.id, model);
    const msPerToken = observed ?? timeFactor / DEFAULT_PREFILL_TOKENS_PER_MS;
    return {
      prefillMs: 1 + msPerToken * unshared,
      decodeMs: timeFactor * head.maxOutputTokens * DECODE_MS_PER_OUTPUT_TOKEN,
      sharedPrefillMs: msPerToken * shared,
    };
  }
}

/** Time of a model relative to the most expensive one; time grows roughly in proportion to cost. */
function relativeTime(
  engine: EngineProfile,
  model: ModelId | undefined,
): number {
  const costs = engine.models.map(({ costPer1kTokens }) => costPer1kTokens);
  const highestCost = Math.max(...costs);
  const cost = engine.models.find(({ id }) => id === model)?.costPer1kTokens;
  if (cost === undefined || highestCost <= 0) return 1;
  return Math.max(MIN_RELATIVE_TIME, cost / highestCost);
}
