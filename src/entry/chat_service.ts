/** Serves chat requests: runs the steps of a cascade until an answer is confident enough. */

import type {
  ChatStream,
  ModelResponse,
  ModelServers,
} from "../backends/model_servers.ts";
import { isConfidentAnswer } from "../core/cascade/answer_confidence.ts";
import type { CascadeStep } from "../core/cascade/cascade_plan.ts";
import type { BackendServer } from "../core/config/configuration.ts";
import type { EntryRetryBudget } from "../core/limits/entry_retry_budget.ts";
import {
  mergeAttemptErrors,
  type RequestError,
} from "../core/request_error.ts";
import { fail, ok, type Result } from "../core/result.ts";
import type { EntryMetrics } from "../metrics/entry_metrics.ts";
import type { ChatRequest, ChatResponse } from "../protocol/chat_schema.ts";
import type { BackendSelector, Target } from "./backend_selector.ts";
import type {
  Dispatched,
  ModelDispatcher,
  StepInput,
} from "./model_dispatcher.ts";
import type { RequestContext } from "./request_context.ts";
import {
  type ChatSink,
  type RelayOutcome,
  type RelayResult,
  StreamRelay,
} from "./stream_relay.ts";

/** A complete answer, ready to be sent to the caller. */
export interface ServedAnswer {
  readonly target: Target;
  readonly text: string;
}

/** A stream with low confidence, kept open as a fallback until a better one is available. */
interface LowConfidenceStream {
  readonly dispatched: Dispatched<ChatStream>;
  readonly relay: StreamRelay;
  readonly outcome: RelayOutcome;
}

type StepResult =
  | Exclude<RelayResult, { tag: "poor" }>
  | { readonly tag: "poor"; readonly stream: LowConfidenceStream };

interface RelayOptions {
  readonly ctx: RequestContext;
  readonly sink: ChatSink;
  /** Called before the request is sent to a server. */
  readonly beforeSend: (server: BackendServer) => void;
  /** Called when the confidence check of a stream passes. */
  readonly onConfident: () => void;
}

interface Deps {
  readonly backendSelector: BackendSelector;
  readonly modelDispatcher: ModelDispatcher;
  readonly modelServers: ModelServers;
  readonly retryBudget: EntryRetryBudget;
  readonly entryMetrics: EntryMetrics;
}

/** Serves admitted chat requests. */
export class ChatService {
  readonly #deps: Deps;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Returns the complete answer. */
  async answer(
    ctx: RequestContext,
    req: ChatRequest,
  ): Promise<Result<ServedAnswer, RequestError>> {
    const plan = this.#deps.backendSelector.plan(ctx, req.model);
    if (!plan.ok) return plan;
    this.#deps.retryBudget.deposit();
    let fallback: Dispatched<ModelResponse> | undefined;
    let lastError: RequestError | undefined;
    for (const step of plan.value) {
      const dispatched = await this.#deps.modelDispatcher.dispatch(
        { ctx, req, step, tried: new Set() },
        (call) => this.#deps.modelServers.chat(call),
      );
      if (!dispatched.ok) {
        // Reports that the request may have run if any earlier step may have.
        lastError = mergeAttemptErrors(dispatched.error, lastError);
        if (!this.#canEscalate(dispatched.error, step)) break;
        continue;
      }
      dispatched.value.done("answered");
      if (isAcceptable(dispatched.value.answer.answer, step)) {
        return ok(this.#recordAnswer(dispatched.value, req));
      }
      this.#countEscalation(step, "poor");
      fallback = dispatched.value;
    }
    // An answer with low confidence is better than none.
    if (fallback !== undefined) return ok(this.#recordAnswer(fallback, req));
    return fail(lastError as RequestError);
  }

  /** Streams the answer to `sink`; returns an error only if nothing has been sent. */
  async stream(
    ctx: RequestContext,
    { req, sink }: { req: ChatRequest; sink: ChatSink },
  ): Promise<Result<undefined, RequestError>> {
    const plan = this.#deps.backendSelector.plan(ctx, req.model);
    if (!plan.ok) return plan;
    this.#deps.retryBudget.deposit();
    let fallback: LowConfidenceStream | undefined;
    let lastError: RequestError | undefined;
    const dropFallback = () => {
      if (fallback !== undefined) this.#abandon(fallback, ctx);
      fallback = undefined;
    };
    // The fallback is no longer needed once a stream passes the confidence check.
    const onConfident = dropFallback;
    // Both runs at a server would have the same request id: cancelling the first later would
    // also end the second, which may itself be waiting for the connection or slot of the first.
    const beforeSend = ({ id }: BackendServer) => {
      if (fallback?.dispatched.target.server.id === id) dropFallback();
    };
    for (const step of plan.value) {
      const outcome = await this.#streamStep(
        { ctx, req, step, tried: new Set() },
        { ctx, sink, beforeSend, onConfident },
      );
      if (outcome.tag === "passed") return ok(undefined);
      if (outcome.tag === "poor") {
        this.#countEscalation(step, "poor");
        dropFallback();
        fallback = outcome.stream;
        lastError = {
          tag: "stream_cut",
          reason: "low confidence at its beginning",
        };
        continue;
      }
      // Reports that the request may have run if any earlier step may have.
      lastError = mergeAttemptErrors(outcome.error, lastError);
      if (!this.#canEscalate(outcome.error, step)) break;
    }
    // An answer with low confidence is better than none.
    if (fallback !== undefined) return await this.#forwardAnyway(fallback, ctx);
    return fail(lastError as RequestError);
  }

  /** Runs one step; retries a stream that is cut before its first event is sent to the caller. */
  async #streamStep(
    input: StepInput,
    options: RelayOptions,
  ): Promise<StepResult> {
    let cut: RequestError | undefined;
    for (;;) {
      const dispatched = await this.#deps.modelDispatcher.dispatch<ChatStream>(
        input,
        (call) => {
          options.beforeSend(call.server);
          return this.#deps.modelServers.stream(call);
        },
      );
      if (!dispatched.ok) {
        // The request may have run: a server had started the stream that was cut.
        return { tag: "cut", error: mergeAttemptErrors(dispatched.error, cut) };
      }
      const result = await this.#relay(dispatched.value, options);
      if (result.tag !== "cut" || result.error.tag !== "stream_cut") {
        return result;
      }
      if (!this.#deps.retryBudget.tryWithdraw()) return result;
      cut = result.error;
    }
  }

  async #relay(
    dispatched: Dispatched<ChatStream>,
    { ctx, sink, onConfident }: RelayOptions,
  ): Promise<StepResult> {
    const relay = new StreamRelay({
      entryMetrics: this.#deps.entryMetrics,
      target: dispatched.target,
      stream: dispatched.answer,
      deadline: ctx.deadline,
      sink,
      onConfident,
    });
    const outcome = await relay.run();
    const { result } = outcome;
    if (result.tag === "poor") {
      return { tag: "poor", stream: { dispatched, relay, outcome } };
    }
    this.#finishAttempt(dispatched, { ctx, outcome });
    return result;
  }

  async #forwardAnyway(
    { dispatched, relay }: LowConfidenceStream,
    ctx: RequestContext,
  ): Promise<Result<undefined, RequestError>> {
    const outcome = await relay.forwardAnyway();
    this.#finishAttempt(dispatched, { ctx, outcome });
    const { result } = outcome;
    return result.tag === "cut" ? fail(result.error) : ok(undefined);
  }

  #abandon(
    { dispatched, relay, outcome }: LowConfidenceStream,
    ctx: RequestContext,
  ): void {
    void relay.close();
    this.#finishAttempt(dispatched, { ctx, outcome });
  }

  #finishAttempt(
    dispatched: Dispatched<ChatStream>,
    { ctx, outcome }: { ctx: RequestContext; outcome: RelayOutcome },
  ): void {
    dispatched.done(outcome.serverFailed ? "failed" : "answered");
    if (!outcome.ended) {
      this.#deps.modelServers.cancel(dispatched.target.server, ctx.requestId);
    }
  }

  /**
   * Whether to try the next step; false if the caller has disconnected or the deadline has expired.
   */
  #canEscalate(err: RequestError, step: CascadeStep): boolean {
    if (err.tag === "cancelled" || err.tag === "deadline") return false;
    if (step.escalation !== undefined) this.#countEscalation(step, err.tag);
    return true;
  }

  #recordAnswer(
    dispatched: Dispatched<ModelResponse>,
    req: ChatRequest,
  ): ServedAnswer {
    const { target, answer } = dispatched;
    const labels = { model: target.step.model.id, version: target.version.id };
    this.#deps.entryMetrics.answers.inc(labels);
    const tokens = answer.answer.usage?.completion_tokens ?? 0;
    this.#deps.entryMetrics.tokens.inc(labels, tokens);
    return servedAnswer(dispatched, req);
  }

  #countEscalation(step: CascadeStep, reason: string): void {
    this.#deps.entryMetrics.escalations.inc({ model: step.model.id, reason });
  }
}

function isAcceptable(answer: ChatResponse, step: CascadeStep): boolean {
  const choice = answer.choices[0];
  if (step.escalation === undefined || choice === undefined) return true;
  return isConfidentAnswer({
    logprobs: (choice.logprobs?.content ?? []).map(({ logprob }) => logprob),
    textLength: choice.message.content?.length ?? 0,
    finishReason: choice.finish_reason ?? undefined,
  }, step.escalation);
}

/** Removes log-probabilities that the caller did not request. */
function servedAnswer(
  { target, answer }: Dispatched<ModelResponse>,
  req: ChatRequest,
): ServedAnswer {
  if (target.step.escalation === undefined || req.logprobs === true) {
    return { target, text: answer.text };
  }
  const choices = answer.answer.choices.map((choice) => ({
    ...choice,
    logprobs: null,
  }));
  return { target, text: JSON.stringify({ ...answer.answer, choices }) };
}
