/** Answers chat requests: goes through a plan until an answer is good enough. */

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

/** A whole answer, ready to be passed on. */
export interface ServedAnswer {
  readonly target: Target;
  readonly text: string;
}

/** A stream whose poor beginning is kept until there is something better. */
interface HeldStream {
  readonly dispatched: Dispatched<ChatStream>;
  readonly relay: StreamRelay;
  readonly outcome: RelayOutcome;
}

type StepResult =
  | Exclude<RelayResult, { tag: "poor" }>
  | { readonly tag: "poor"; readonly held: HeldStream };

interface RelayOptions {
  readonly ctx: RequestContext;
  readonly sink: ChatSink;
  /** Called before a server is asked. */
  readonly onAsk: (server: BackendServer) => void;
  /** Called when the beginning of a stream is good enough. */
  readonly onGood: () => void;
}

interface Deps {
  readonly backendSelector: BackendSelector;
  readonly modelDispatcher: ModelDispatcher;
  readonly modelServers: ModelServers;
  readonly retryBudget: EntryRetryBudget;
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
    let poor: Dispatched<ModelResponse> | undefined;
    let lastError: RequestError | undefined;
    for (const step of plan.value) {
      const tried = await this.#deps.modelDispatcher.dispatch(
        { ctx, req, step, tried: new Set() },
        (call) => this.#deps.modelServers.chat(call),
      );
      if (!tried.ok) {
        // An earlier step may have run, though this one has not.
        lastError = mergeAttemptErrors(tried.error, lastError);
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
    let poor: HeldStream | undefined;
    let lastError: RequestError | undefined;
    const giveUp = () => {
      if (poor !== undefined) this.#giveUp(poor, ctx);
      poor = undefined;
    };
    // By then there is something better than a poor beginning.
    const onGood = giveUp;
    // Two runs at one server have one id: a later cancel would end the next one as well, and
    // the next one may be waiting for the connection or the place of the first.
    const onAsk = ({ id }: BackendServer) => {
      if (poor?.dispatched.target.server.id === id) giveUp();
    };
    for (const step of plan.value) {
      const outcome = await this.#streamStep(
        { ctx, req, step, tried: new Set() },
        { ctx, sink, onAsk, onGood },
      );
      if (outcome.tag === "passed") return ok(undefined);
      if (outcome.tag === "poor") {
        this.#countEscalation(step, "poor");
        giveUp();
        poor = outcome.held;
        lastError = { tag: "stream_cut", reason: "its beginning was poor" };
        continue;
      }
      // An earlier step may have run, though this one has not.
      lastError = mergeAttemptErrors(outcome.error, lastError);
      if (!this.#mayEscalate(outcome.error, step)) break;
    }
    // A poor answer is still better than none.
    if (poor !== undefined) return await this.#passOn(poor, ctx);
    return fail(lastError as RequestError);
  }

  /** A stream that is cut before its first event reached the caller is asked for again. */
  async #streamStep(
    input: StepInput,
    options: RelayOptions,
  ): Promise<StepResult> {
    let cut: RequestError | undefined;
    for (;;) {
      const dispatched = await this.#deps.modelDispatcher.dispatch<ChatStream>(
        input,
        (call) => {
          options.onAsk(call.server);
          return this.#deps.modelServers.stream(call);
        },
      );
      if (!dispatched.ok) {
        // A server ran the stream that was cut, whatever kept it from the next.
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
    { ctx, sink, onGood }: RelayOptions,
  ): Promise<StepResult> {
    const relay = new StreamRelay({
      entryMetrics: this.#deps.entryMetrics,
      target: dispatched.target,
      stream: dispatched.answer,
      deadline: ctx.deadline,
      sink,
      onGood,
    });
    const outcome = await relay.run();
    const { result } = outcome;
    if (result.tag === "poor") {
      return { tag: "poor", held: { dispatched, relay, outcome } };
    }
    this.#settle(dispatched, { ctx, outcome });
    return result;
  }

  async #passOn(
    { dispatched, relay }: HeldStream,
    ctx: RequestContext,
  ): Promise<Result<undefined, RequestError>> {
    const outcome = await relay.passOn();
    this.#settle(dispatched, { ctx, outcome });
    const { result } = outcome;
    return result.tag === "cut" ? fail(result.error) : ok(undefined);
  }

  #giveUp(
    { dispatched, relay, outcome }: HeldStream,
    ctx: RequestContext,
  ): void {
    void relay.close();
    this.#settle(dispatched, { ctx, outcome });
  }

  #settle(
    dispatched: Dispatched<ChatStream>,
    { ctx, outcome }: { ctx: RequestContext; outcome: RelayOutcome },
  ): void {
    dispatched.done(outcome.serverFailed ? "failed" : "answered");
    if (!outcome.ended) {
      this.#deps.modelServers.cancel(dispatched.target.server, ctx.requestId);
    }
  }

  /** Later steps are no help to a caller that has gone or has no time left. */
  #mayEscalate(err: RequestError, step: CascadeStep): boolean {
    if (err.tag === "cancelled" || err.tag === "deadline") return false;
    if (step.escalation !== undefined) this.#countEscalation(step, err.tag);
    return true;
  }

  #pass(dispatched: Dispatched<ModelResponse>, req: ChatRequest): ServedAnswer {
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

function isGood(answer: ChatResponse, step: CascadeStep): boolean {
  const choice = answer.choices[0];
  if (step.escalation === undefined || choice === undefined) return true;
  return isConfidentAnswer({
    logprobs: (choice.logprobs?.content ?? []).map(({ logprob }) => logprob),
    textLength: choice.message.content?.length ?? 0,
    finishReason: choice.finish_reason ?? undefined,
  }, step.escalation);
}

/** Takes out log-probabilities that the caller did not ask for. */
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
