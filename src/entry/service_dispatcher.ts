/** Sends calls to plain services; those that may not be repeated go out once. */

import type { BackendError } from "../backends/backend_error.ts";
import type {
  PlainServices,
  ServiceAnswer,
} from "../backends/plain_services.ts";
import type {
  PlainService,
  ServiceRoute,
} from "../core/config/configuration.ts";
import type { BackendId } from "../core/ids.ts";
import type { RetryBudget } from "../core/limits/retry_budget.ts";
import type { RequestError } from "../core/request_error.ts";
import { fail, ok, type Result } from "../core/result.ts";
import type { ServerPool } from "../core/routing/server_pool.ts";
import type { EntryMetrics } from "../metrics/entry_metrics.ts";
import type { Clock } from "../runtime/clock.ts";
import type { BackendSelector } from "./backend_selector.ts";
import type { RequestContext } from "./request_context.ts";
import { mayRetry, requestErrorOf, tryOutcomeOf } from "./retry_policy.ts";

/** Servers that a call is tried on, at most. */
const MAX_TRIES = 3;

/** A caller's call of a plain service. */
export interface ServiceRequest {
  readonly ctx: RequestContext;
  readonly service: PlainService;
  readonly method: string;
  /** Path below the service, with its query. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array | undefined;
}

interface Deps {
  readonly backendSelector: BackendSelector;
  readonly plainServices: PlainServices;
  readonly serverPool: ServerPool;
  readonly retryBudget: RetryBudget;
  readonly entryMetrics: EntryMetrics;
  readonly clock: Clock;
}

/** Dispatches calls of plain services. */
export class ServiceDispatcher {
  readonly #deps: Deps;

  constructor(deps: Deps) {
    const {
      backendSelector,
      plainServices,
      serverPool,
      retryBudget,
      entryMetrics,
      clock,
    } = deps;
    this.#deps = {
      backendSelector,
      plainServices,
      serverPool,
      retryBudget,
      entryMetrics,
      clock,
    };
  }

  /** Returns the service's answer, or why there is none. */
  async dispatch(
    req: ServiceRequest,
  ): Promise<Result<ServiceAnswer, RequestError>> {
    const route = findRoute(req);
    if (route === undefined) {
      return fail({ tag: "unknown_route", method: req.method, path: req.path });
    }
    const { deadline } = req.ctx;
    const tried = new Set<BackendId>();
    let sentBefore = false;
    let lastError: RequestError | undefined;
    this.#deps.retryBudget.earn();
    while (tried.size < MAX_TRIES) {
      const server = this.#deps.backendSelector.serviceServer(
        req.service.id,
        tried,
      );
      if (!server.ok) return fail(lastError ?? server.error);
      tried.add(server.value.id);
      const answer = await this.#tryOnce(
        server.value.id,
        () =>
          this.#deps.plainServices.call({
            server: server.value,
            requestId: req.ctx.requestId,
            deadline,
            ...req,
          }),
      );
      if (answer.ok) return ok(answer.value);
      lastError = requestErrorOf(answer.error, { deadline, sentBefore });
      sentBefore ||= answer.error.tag !== "refused";
      const { repeatable } = route;
      if (
        !mayRetry(answer.error, { repeatable, budget: this.#deps.retryBudget })
      ) break;
    }
    return fail(lastError as RequestError);
  }

  async #tryOnce(
    id: BackendId,
    call: () => Promise<Result<ServiceAnswer, BackendError>>,
  ): Promise<Result<ServiceAnswer, BackendError>> {
    const { serverPool, clock, entryMetrics } = this.#deps;
    serverPool.begin(id);
    const answer = await call();
    const outcome = answer.ok ? "answered" : tryOutcomeOf(answer.error);
    serverPool.end(id, { outcome, nowMs: clock.monotonicMs() });
    entryMetrics.tries.inc({
      outcome: answer.ok ? "answered" : answer.error.tag,
    });
    return answer;
  }
}

/** The longest matching path wins, so that a narrower route can be stricter. */
function findRoute(
  { service, method, path }: ServiceRequest,
): ServiceRoute | undefined {
  return service.routes
    .filter((route) =>
      path.startsWith(route.path) && route.methods.includes(method)
    )
    .sort((a, b) => b.path.length - a.path.length)[0];
}
