/** Which model a request is asked of, where the choice is ours. */

import { escalateTo, firstModel } from "../core/cascade/model_ladder.ts";
import type { ModelPace } from "../core/cascade/model_pace.ts";
import type { ModelId } from "../core/ids.ts";
import { mayRunMoreThanOnce, type Route } from "../core/routes/route.ts";
import type { CallerHead } from "../platform/header_wire.ts";

/** What is known when the head of an answer has come. */
export interface JudgedHead {
  readonly route: Route;
  /** 0 to 100, undefined where the server does not say. */
  readonly confidence: number | undefined;
  /** Time since the request came, in milliseconds. */
  readonly usedMs: number;
  /** Time that the request has, in milliseconds. */
  readonly limitMs: number;
  /** Predicts the time to the first token of a model, in milliseconds. */
  readonly startMsOf: (model: ModelId) => number;
  /** Further runs that the route allows. */
  readonly runsLeft: number;
}

/** Begins with one model and moves on to a larger one. */
export class ModelChoice {
  readonly #modelPace: ModelPace;
  readonly #head: CallerHead;
  #model: ModelId | undefined;
  #larger: ModelId | undefined;

  constructor(
    modelPace: ModelPace,
    { head, route }: { head: CallerHead; route: Route },
  ) {
    this.#modelPace = modelPace;
    this.#head = head;
    if (head.choosesModel) this.#model = firstModel(route);
  }

  /** Model to ask; undefined where the caller has named one or none is needed. */
  get model(): ModelId | undefined {
    return this.#model;
  }

  /** Whether a larger model should be asked instead; `moveOn` then does so. */
  wantsLarger(judged: JudgedHead): boolean {
    const { route, confidence, usedMs, limitMs, runsLeft } = judged;
    const largest = route.models.at(-1);
    if (this.#model === undefined || largest === undefined) return false;
    if (!mayRunMoreThanOnce(route)) return false;
    this.#larger = escalateTo({
      models: route.models,
      model: this.#model,
      confidence,
      usedMs,
      targetMs: route.targetMs ?? limitMs,
      limitMs,
      largest: this.#predict(largest, route),
      startMs: judged.startMsOf(largest),
      runsLeft,
    });
    return this.#larger !== undefined;
  }

  /** Asks the larger model from now on. */
  moveOn(): void {
    this.#model = this.#larger ?? this.#model;
    this.#larger = undefined;
  }

  #predict(model: ModelId, route: Route) {
    const { promptTokens, outputTokens } = this.#head;
    return this.#modelPace.predict(route.id, {
      model,
      promptTokens,
      outputTokens,
    });
  }
}
