/** Chooses the model for requests whose caller leaves the choice to the router. */

import {
  escalationTarget,
  initialModel,
} from "../core/cascade/model_escalation.ts";
import type { ModelLatencyEstimator } from "../core/cascade/model_latency_estimator.ts";
import type { ModelId } from "../core/ids.ts";
import { mayRunMoreThanOnce, type Route } from "../core/routes/route.ts";
import type { CallerHead } from "../platform/header_wire.ts";

/** What is known about a request when the response head of an attempt arrives. */
export interface EscalationInput {
  readonly route: Route;
  /** Confidence of the model in its answer, 0 to 100; undefined if the server reports none. */
  readonly confidence: number | undefined;
  /** Time since the request arrived. */
  readonly usedMs: number;
  /** Time limit of the request. */
  readonly limitMs: number;
  /** Predicts the time to the first token of a model, in milliseconds. */
  readonly predictStartMs: (model: ModelId) => number;
  /** Number of further runs that the route allows. */
  readonly runsLeft: number;
}

/** Starts with the initial model of a route and escalates to a larger one on low confidence. */
export class ModelCascade {
  readonly #modelPace: ModelLatencyEstimator;
  readonly #head: CallerHead;
  #model: ModelId | undefined;
  #nextModel: ModelId | undefined;

  constructor(
    modelLatencyEstimator: ModelLatencyEstimator,
    { head, route }: { head: CallerHead; route: Route },
  ) {
    this.#modelPace = modelLatencyEstimator;
    this.#head = head;
    if (head.anyModel) this.#model = initialModel(route);
  }

  /** Model to use; undefined if the caller named one or the service has no models. */
  get model(): ModelId | undefined {
    return this.#model;
  }

  /** Whether to retry with a larger model; `escalate` then switches to it. */
  shouldEscalate(input: EscalationInput): boolean {
    const { route, confidence, usedMs, limitMs, runsLeft } = input;
    const largest = route.models.at(-1);
    if (this.#model === undefined || largest === undefined) return false;
    if (!mayRunMoreThanOnce(route)) return false;
    this.#nextModel = escalationTarget({
      models: route.models,
      model: this.#model,
      confidence,
      usedMs,
      targetMs: route.targetMs ?? limitMs,
      limitMs,
      largest: this.#predict(largest, route),
      largestStartMs: input.predictStartMs(largest),
      runsLeft,
    });
    return this.#nextModel !== undefined;
  }

  /** Switches to the larger model selected by `shouldEscalate`. */
  escalate(): void {
    this.#model = this.#nextModel ?? this.#model;
    this.#nextModel = undefined;
  }

  #predict(model: ModelId, route: Route) {
    const { promptTokens, maxOutputTokens: outputTokens } = this.#head;
    return this.#modelPace.predict(route.id, {
      model,
      promptTokens,
      outputTokens,
    });
  }
}
