/** Sends calls to plain services; those that may not be repeated go out once. */

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
import { mayRetry, requestErrorOf, tryOutcomeOf } from "./retry_policy.ts";

/** Servers that a call is tried on, at most. */
const MAX_TRIES = 3;

/** A caller's call of a plain service. */
export interface ServiceRequest {
  readonly ctx: RequestContext;
  /** Name of the service, as the caller gave it. */
  readonly name: string;
  readonly method: string;
  /** Path below the service, without dot segments. */
  readonly path: string;
  /** Query with its question mark, or empty. */
  readonly query: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array | undefined;
}

/** Where a call goes next, and by which rule. */
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

  /** Returns the service's answer, or why there is none. */
  async dispatch(
    req: ServiceRequest,
  ): Promise<Result<ServiceResponse, RequestError>> {
    const { deadline } = req.ctx;
    const budget = this.#deps.retryBudget;
    const tried = new Set<BackendId>();
    let sentBefore = false;
    let lastError: RequestError | undefined;
    budget.deposit();
    while (tried.size < MAX_TRIES) {
      const target = this.#nextTarget(req, tried);
      if (!target.ok) return fail(lastError ?? target.error);
      const { server, route } = target.value;
      tried.add(server.id);
      const answer = await this.#tryOnce(server, req);
      if (answer.ok) return answer;
      lastError = requestErrorOf(answer.error, { deadline, sentBefore });
      sentBefore ||= answer.error.tag !== "refused";
      if (!mayRetry(answer.error, { repeatable: route.repeatable, budget })) {
        break;
      }
    }
    return fail(lastError as RequestError);
  }

  /** A retry must still be allowed by the configuration that is in force by then. */
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
    const server = this.#deps.backendSelector.serviceServer(
      service.value.id,
      tried,
    );
    return server.ok ? ok({ server: server.value, route }) : server;
  }

  async #tryOnce(
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
    const outcome = answer.ok ? "answered" : tryOutcomeOf(answer.error);
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

/** The longest matching path wins, so that a narrower route can be stricter. */
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
