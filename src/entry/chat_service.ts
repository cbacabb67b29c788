/** Answers chat requests: goes through a plan until an answer is good enough. */

import type {
  ChatStream,
  ModelServers,
  WholeAnswer,
} from "../backends/model_servers.ts";
import { isGoodEnough } from "../core/cascade/answer_judge.ts";
import type { PlanStep } from "../core/cascade/cascade_plan.ts";
import type { RetryBudget } from "../core/limits/retry_budget.ts";
import { errorAfter, type RequestError } from "../core/request_error.ts";
import { fail, ok, type Result } from "../core/result.ts";
import type { EntryMetrics } from "../metrics/entry_metrics.ts";
import type { ChatAnswer, ChatRequest } from "../protocol/chat_schema.ts";
import type { BackendSelector, Target } from "./backend_selector.ts";
import type {
  Dispatched,
  ModelDispatcher,
  StepInput,
} from "./model_dispatcher.ts";
import type { RequestContext } from "./request_context.ts";
import {
  type ChatSink,
  type RelayResult,
  StreamRelay,
} from "./stream_relay.ts";

/** A whole answer, ready to be passed on. */
export interface ServedAnswer {
  readonly target: Target;
  readonly text: string;
}

interface Deps {
  readonly backendSelector: BackendSelector;
  readonly modelDispatcher: ModelDispatcher;
  readonly modelServers: ModelServers;
  readonly retryBudget: RetryBudget;
  readonly entryMetrics: EntryMetrics;
}

/** Serves chat requests of callers that have been let in. */
export class ChatService {
  readonly #deps: Deps;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Returns the whole answer. */
  async answer(
    ctx: RequestContext,
    req: ChatRequest,
  ): Promise<Result<ServedAnswer, RequestError>> {
    const plan = this.#deps.backendSelector.plan(ctx, req.model);
    if (!plan.ok) return plan;
    let poor: Dispatched<WholeAnswer> | undefined;
    let lastError: RequestError | undefined;
    for (const step of plan.value) {
      const tried = await this.#deps.modelDispatcher.dispatch(
        { ctx, req, step, tried: new Set() },
        (call) => this.#deps.modelServers.chat(call),
      );
      if (!tried.ok) {
        // An earlier step may have run, though this one has not.
        lastError = errorAfter(tried.error, lastError);
        if (!this.#mayEscalate(tried.error, step)) break;
        continue;
      }
      tried.value.done("answered");
      if (isGood(tried.value.answer.answer, step)) {
        return ok(this.#pass(tried.value, req));
      }
      this.#countEscalation(step, "poor");
      poor = tried.value;
    }
    // A poor answer is still better than none.
    if (poor !== undefined) return ok(this.#pass(poor, req));
    return fail(lastError as RequestError);
  }

  /** Passes a streamed answer to `sink`; an error is returned only before it starts. */
  async stream(
    ctx: RequestContext,
    { req, sink }: { req: ChatRequest; sink: ChatSink },
  ): Promise<Result<undefined, RequestError>> {
    const plan = this.#deps.backendSelector.plan(ctx, req.model);
    if (!plan.ok) return plan;
    let lastError: RequestError | undefined;
    for (const step of plan.value) {
      const outcome = await this.#streamStep({
        ctx,
        req,
        step,
        tried: new Set(),
      }, sink);
      if (outcome.tag === "passed") return ok(undefined);
      if (outcome.tag === "poor") {
        this.#countEscalation(step, "poor");
        continue;
      }
      // An earlier step may have run, though this one has not.
      lastError = errorAfter(outcome.error, lastError);
      if (!this.#mayEscalate(outcome.error, step)) break;
    }
    return fail(lastError as RequestError);
  }

  /** A stream that is cut before its first event reached the caller is asked for again. */
  async #streamStep(input: StepInput, sink: ChatSink): Promise<RelayResult> {
    let cut: RequestError | undefined;
    for (;;) {
      const dispatched = await this.#deps.modelDispatcher.dispatch<ChatStream>(
        input,
        (call) => this.#deps.modelServers.stream(call),
      );
      if (!dispatched.ok) {
        // A server ran the stream that was cut, whatever kept it from the next.
        return { tag: "cut", error: errorAfter(dispatched.error, cut) };
      }
      const result = await this.#relay(dispatched.value, {
        ctx: input.ctx,
        sink,
      });
      if (result.tag !== "cut" || result.error.tag !== "stream_cut") {
        return result;
      }
      if (!this.#deps.retryBudget.spend()) return result;
      cut = result.error;
    }
  }

  async #relay(
    dispatched: Dispatched<ChatStream>,
    { ctx, sink }: { ctx: RequestContext; sink: ChatSink },
  ): Promise<RelayResult> {
    const relay = new StreamRelay({
      entryMetrics: this.#deps.entryMetrics,
      target: dispatched.target,
      deadline: ctx.deadline,
      sink,
    });
    const outcome = await relay.run(dispatched.answer);
    dispatched.done(outcome.serverFailed ? "failed" : "answered");
    if (!outcome.ended) {
      this.#deps.modelServers.cancel(dispatched.target.server, ctx.requestId);
    }
    return outcome.result;
  }

  /** Later steps are no help to a caller that has gone or has no time left. */
  #mayEscalate(err: RequestError, step: PlanStep): boolean {
    if (err.tag === "cancelled" || err.tag === "deadline") return false;
    if (step.judge !== undefined) this.#countEscalation(step, err.tag);
    return true;
  }

  #pass(dispatched: Dispatched<WholeAnswer>, req: ChatRequest): ServedAnswer {
    const { target, answer } = dispatched;
    const labels = { model: target.step.model.id, version: target.version.id };
    this.#deps.entryMetrics.answers.inc(labels);
    const tokens = answer.answer.usage?.completion_tokens ?? 0;
    this.#deps.entryMetrics.tokens.inc(labels, tokens);
    return servedAnswer(dispatched, req);
  }

  #countEscalation(step: PlanStep, reason: string): void {
    this.#deps.entryMetrics.escalations.inc({ model: step.model.id, reason });
  }
}

function isGood(answer: ChatAnswer, step: PlanStep): boolean {
  const choice = answer.choices[0];
  if (step.judge === undefined || choice === undefined) return true;
  return isGoodEnough({
    logprobs: (choice.logprobs?.content ?? []).map(({ logprob }) => logprob),
    textLength: choice.message.content?.length ?? 0,
    finishReason: choice.finish_reason ?? undefined,
  }, step.judge);
}

/** Takes out log-probabilities that the caller did not ask for. */
function servedAnswer(
  { target, answer }: Dispatched<WholeAnswer>,
  req: ChatRequest,
): ServedAnswer {
  if (target.step.judge === undefined || req.logprobs === true) {
    return { target, text: answer.text };
  }
  const choices = answer.answer.choices.map((choice) => ({
    ...choice,
    logprobs: null,
  }));
  return { target, text: JSON.stringify({ ...answer.answer, choices }) };
}
