/** Sends calls to plain services; calls that are not repeatable are sent only once. */

import type { BackendError } from "../backends/backend_error.ts";
import type {
  PlainServices,
  ServiceResponse,
} from "../backends/plain_services.ts";
import type {
  BackendServer,
  PlainService,
  ServiceRoute,
} from "../core/config/configuration.ts";
import type { BackendId } from "../core/ids.ts";
import type { EntryRetryBudget } from "../core/limits/entry_retry_budget.ts";
import type { RequestError } from "../core/request_error.ts";
import { fail, ok, type Result } from "../core/result.ts";
import type { ServerPool } from "../core/routing/server_pool.ts";
import type { EntryMetrics } from "../metrics/entry_metrics.ts";
import type { Clock } from "../runtime/clock.ts";
import type { BackendSelector } from "./backend_selector.ts";
import type { RequestContext } from "./request_context.ts";
import { attemptOutcomeOf, mayRetry, requestErrorOf } from "./retry_policy.ts";

/** Maximum number of servers attempted per call. */
const MAX_ATTEMPTS = 3;

/** A caller's request to a plain service. */
export interface ServiceRequest {
  readonly ctx: RequestContext;
  /** Name of the service in the request. */
  readonly name: string;
  readonly method: string;
  /** Path below the service, without dot segments. */
  readonly path: string;
  /** Query string with its question mark, or an empty string. */
  readonly query: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array | undefined;
}

/** The server of the next attempt, and the route that matches the call. */
interface ServiceTarget {
  readonly server: BackendServer;
  readonly route: ServiceRoute;
}

interface Deps {
  readonly backendSelector: BackendSelector;
  readonly plainServices: PlainServices;
  readonly serverPool: ServerPool;
  readonly retryBudget: EntryRetryBudget;
  readonly entryMetrics: EntryMetrics;
  readonly clock: Clock;
}

/** Dispatches calls of plain services. */
export class ServiceDispatcher {
  readonly #deps: Deps;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Returns the answer of the service, or the error that ended the attempts. */
  async dispatch(
    req: ServiceRequest,
  ): Promise<Result<ServiceResponse, RequestError>> {
    const { deadline } = req.ctx;
    const budget = this.#deps.retryBudget;
    const tried = new Set<BackendId>();
    let sentBefore = false;
    let lastError: RequestError | undefined;
    budget.deposit();
    while (tried.size < MAX_ATTEMPTS) {
      const target = this.#nextTarget(req, tried);
      if (!target.ok) return fail(lastError ?? target.error);
      const { server, route } = target.value;
      tried.add(server.id);
      const answer = await this.#attempt(server, req);
      if (answer.ok) return answer;
      lastError = requestErrorOf(answer.error, { deadline, sentBefore });
      sentBefore ||= answer.error.tag !== "refused";
      if (!mayRetry(answer.error, { repeatable: route.repeatable, budget })) {
        break;
      }
    }
    return fail(lastError as RequestError);
  }

  /**
   * Selects the next server; a retry must be allowed by the configuration in force at that time.
   */
  #nextTarget(
    req: ServiceRequest,
    tried: ReadonlySet<BackendId>,
  ): Result<ServiceTarget, RequestError> {
    const service = this.#deps.backendSelector.planService(req.ctx, req.name);
    if (!service.ok) return service;
    const route = findRoute(service.value, req);
    if (route === undefined) {
      const { method, path } = req;
      return fail({ tag: "unknown_route", method, path });
    }
    const server = this.#deps.backendSelector.selectServiceServer(
      service.value.id,
      tried,
    );
    return server.ok ? ok({ server: server.value, route }) : server;
  }

  async #attempt(
    server: BackendServer,
    { ctx, method, path, query, headers, body }: ServiceRequest,
  ): Promise<Result<ServiceResponse, BackendError>> {
    const { serverPool, plainServices, clock, entryMetrics } = this.#deps;
    serverPool.begin(server.id);
    const answer = await plainServices.call({
      server,
      requestId: ctx.requestId,
      method,
      path: `${path}${query}`,
      headers,
      body,
      deadline: ctx.deadline,
    });
    const outcome = answer.ok ? "answered" : attemptOutcomeOf(answer.error);
    const nowMs = clock.monotonicMs();
    serverPool.end(server.id, { outcome, nowMs });
    if (answer.ok) {
      serverPool.backOff(server.id, { restMs: answer.value.restMs, nowMs });
    }
    entryMetrics.attempts.inc({
      outcome: answer.ok ? "answered" : answer.error.tag,
    });
    return answer;
  }
}

/**
 * Returns the matching route with the longest path, so that a more specific route can be stricter.
 */
function findRoute(
  { routes }: PlainService,
  { method, path }: ServiceRequest,
): ServiceRoute | undefined {
  return routes
    .filter((route) =>
      path.startsWith(route.path) && route.methods.some((m) => m === method)
    )
    .sort((a, b) => b.path.length - a.path.length)[0];
}
