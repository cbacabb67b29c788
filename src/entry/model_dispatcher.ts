/** Sends one cascade step to model servers, with retries, until one answers. */

import type { BackendError } from "../backends/backend_error.ts";
import type { ModelCall, ModelServers } from "../backends/model_servers.ts";
import type { CascadeStep } from "../core/cascade/cascade_plan.ts";
import type { BackendId } from "../core/ids.ts";
import type { EntryRetryBudget } from "../core/limits/entry_retry_budget.ts";
import type { RequestError } from "../core/request_error.ts";
import { fail, ok, type Result } from "../core/result.ts";
import type {
  AttemptOutcome,
  ServerPool,
} from "../core/routing/server_pool.ts";
import type { EntryMetrics } from "../metrics/entry_metrics.ts";
import type { ChatRequest } from "../protocol/chat_schema.ts";
import type { Clock } from "../runtime/clock.ts";
import type { BackendSelector, Target } from "./backend_selector.ts";
import type { RequestContext } from "./request_context.ts";
import { attemptOutcomeOf, mayRetry, requestErrorOf } from "./retry_policy.ts";

/** Maximum number of servers attempted per step. */
const MAX_ATTEMPTS = 3;

/** A request and the cascade step to run. */
export interface StepInput {
  readonly ctx: RequestContext;
  readonly req: ChatRequest;
  readonly step: CascadeStep;
  /** Servers already attempted for this step; each attempt adds one. */
  readonly tried: Set<BackendId>;
}

/** An answer and its source. Call `done` when the server has finished the request. */
export interface Dispatched<T> {
  readonly target: Target;
  readonly answer: T;
  /** Records the outcome and the end of the request at its server. */
  readonly done: (outcome: AttemptOutcome) => void;
}

/** Sends a call for a complete answer or for a stream. */
export type SendCall<T> = (call: ModelCall) => Promise<Result<T, BackendError>>;

interface Deps {
  readonly backendSelector: BackendSelector;
  readonly modelServers: ModelServers;
  readonly serverPool: ServerPool;
  readonly retryBudget: EntryRetryBudget;
  readonly entryMetrics: EntryMetrics;
  readonly clock: Clock;
}

/** Attempts the servers of a step one after another. */
export class ModelDispatcher {
  readonly #deps: Deps;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Returns the first answer, or the error that ended the attempts. */
  async dispatch<T>(
    input: StepInput,
    send: SendCall<T>,
  ): Promise<Result<Dispatched<T>, RequestError>> {
    const { tried } = input;
    let sentBefore = false;
    let lastError: RequestError | undefined;
    while (tried.size < MAX_ATTEMPTS) {
      const target = this.#nextTarget(input);
      if (!target.ok) return lastError === undefined ? target : fail(lastError);
      tried.add(target.value.server.id);
      const answer = await this.#attempt(target.value, { input, send });
      if (answer.ok) return answer;
      const { deadline } = input.ctx;
      lastError = requestErrorOf(answer.error, { deadline, sentBefore });
      sentBefore ||= answer.error.tag !== "refused";
      const budget = this.#deps.retryBudget;
      if (!mayRetry(answer.error, { repeatable: true, budget })) break;
    }
    return fail(lastError ?? attemptsExhausted(input.step));
  }

  /**
   * Selects the next server; a retry must be allowed by the configuration in force at that time.
   */
  #nextTarget(
    { ctx, req, step, tried }: StepInput,
  ): Result<Target, RequestError> {
    const plan = this.#deps.backendSelector.plan(ctx, req.model);
    if (!plan.ok) return plan;
    const current = plan.value.find(({ model }) => model.id === step.model.id);
    if (current === undefined) {
      return fail({ tag: "not_allowed", name: req.model });
    }
    return this.#deps.backendSelector.selectTarget(
      { ...step, model: current.model },
      {
        ctx,
        tried,
      },
    );
  }

  async #attempt<T>(
    target: Target,
    { input, send }: { input: StepInput; send: SendCall<T> },
  ): Promise<Result<Dispatched<T>, BackendError>> {
    const { serverPool, clock, entryMetrics } = this.#deps;
    const { server } = target;
    serverPool.begin(server.id);
    const done = (outcome: AttemptOutcome) =>
      serverPool.end(server.id, { outcome, nowMs: clock.monotonicMs() });
    const answer = await send(createModelCall(target, input));
    entryMetrics.attempts.inc({
      outcome: answer.ok ? "answered" : answer.error.tag,
    });
    if (answer.ok) return ok({ target, answer: answer.value, done });
    done(attemptOutcomeOf(answer.error));
    if (answer.error.tag === "rejected") {
      const { restMs } = answer.error;
      serverPool.backOff(server.id, { restMs, nowMs: clock.monotonicMs() });
    }
    if (answer.error.tag !== "refused") {
      this.#deps.modelServers.cancel(server, input.ctx.requestId);
    }
    return answer;
  }
}

function attemptsExhausted(step: CascadeStep): RequestError {
  const reason =
    `${MAX_ATTEMPTS} attempts at servers of ${step.model.id} failed`;
  return { tag: "backend_failed", reason, ran: "maybe" };
}

function createModelCall(target: Target, { ctx, req }: StepInput): ModelCall {
  const model = `${target.step.model.id}@${target.version.id}`;
  const checksConfidence = target.step.escalation !== undefined;
  const body = checksConfidence
    ? { ...req, model, logprobs: true }
    : { ...req, model };
  return {
    server: target.server,
    requestId: ctx.requestId,
    body: JSON.stringify(body),
    priority: ctx.account.priority,
    deadline: ctx.deadline,
  };
}
