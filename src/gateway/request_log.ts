/** Log lines about requests: all that failed or were slow, and a sample of the others. */

import type { RetryBudgetState } from "../core/limits/retry_budget.ts";
import type { Refusal } from "../core/refusal.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { Logger } from "../runtime/logger.ts";
import type { RoutingFollower } from "../store/routing_follower.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import type { RunSummary } from "./run_summary.ts";
import { describeTry } from "./try_record.ts";

const MS_PER_SECOND = 1_000;
/** One in so many requests that went well is logged. */
const SAMPLE = 50;

/** Outcomes of tries that leave open what became of the request. */
const FAILED_TRIES: ReadonlySet<string> = new Set([
  "broken",
  "stream_broken",
  "given_up",
]);

/** Writes one line for each request that an engineer may be asked about. */
export class RequestLog {
  readonly #logger: Logger;
  readonly #metrics: GatewayMetrics;
  readonly #routing: RoutingFollower;
  #good = 0;

  constructor(
    { logger, gatewayMetrics, routingFollower }: {
      logger: Logger;
      gatewayMetrics: GatewayMetrics;
      routingFollower: RoutingFollower;
    },
  ) {
    this.#logger = logger;
    this.#metrics = gatewayMetrics;
    this.#routing = routingFollower;
  }

  /** Notes a request that got no server's answer. */
  refused(exchange: CallerExchange, refusal: Refusal): void {
    this.#metrics.refusals.inc({ reason: refusal.tag });
    this.#logger.info("Request refused", {
      attempt: exchange.head.attempt,
      path: exchange.path,
      refusal: refusal.tag,
      detail: detailOf(refusal),
      age_ms: Math.round(exchange.ageMs()),
    });
  }

  /** Notes a stream that this VM ended before it was whole, and why. */
  cut(
    exchange: CallerExchange,
    { refusal, run }: { refusal: Refusal; run: RunSummary },
  ): void {
    this.#metrics.streamsCut.inc({ reason: refusal.tag });
    this.#logger.info("Stream is cut", {
      attempt: exchange.head.attempt,
      path: exchange.path,
      reason: refusal.tag,
      detail: detailOf(refusal),
      configuration: run.configurationVersion,
      in_force: this.#routing.table?.version,
      age_ms: Math.round(exchange.ageMs()),
      limit_ms: Math.round(run.limitMs),
    });
  }

  /** Notes the end of a request. */
  ended(exchange: CallerExchange, run: RunSummary): void {
    const status = exchange.status ?? 0;
    this.#count(exchange, run);
    const plain = status >= 200 && status < 300 && run.tries.length === 1 &&
      exchange.state === "ended";
    if (plain && this.#good++ % SAMPLE !== 0) return;
    this.#logger.info("Request ended", {
      attempt: exchange.head.attempt,
      path: exchange.path,
      // Worked out only where a try failed: those are looked for at other VMs.
      request: run.tries.some(({ outcome }) => FAILED_TRIES.has(outcome))
        ? run.request.key
        : undefined,
      service: run.service,
      route: run.route,
      account: run.account,
      configuration: run.configurationVersion,
      in_force: this.#routing.table?.version,
      confirmed_ms: Math.round(run.confirmedAgeMs),
      limit_ms: Math.round(run.limitMs),
      retry_budget: describeRetryBudget(run.retryBudget),
      parts: exchange.head.promptParts.map(({ id }) => id).join(","),
      status,
      state: exchange.state,
      age_ms: Math.round(exchange.ageMs()),
      tries: run.tries.map((one) => describeTry(one, exchange.arrivedMs)).join(
        "; ",
      ),
    });
  }

  #count(exchange: CallerExchange, { service, tries }: RunSummary): void {
    const { requests, duration, tries: triesMetric } = this.#metrics;
    requests.inc({ service, outcome: outcomeOf(exchange) });
    duration.observe({ service }, exchange.ageMs() / MS_PER_SECOND);
    for (const { outcome } of tries) triesMetric.inc({ service, outcome });
  }
}

function describeRetryBudget(
  { available: left, earned, unacked: unread, allowance, held, requests, vms }:
    RetryBudgetState,
): string {
  return `${left.toFixed(1)} left: ${earned.toFixed(1)} earned, ` +
    `${allowance.toFixed(1)} of the allowance among ${vms ?? "unknown"} VMs, ` +
    `${held} held, ${unread.toFixed(1)} unread, ${requests} requests`;
}

function outcomeOf(exchange: CallerExchange): string {
  const { state } = exchange;
  if (state === "caller_gone" || state === "cut") return state;
  const status = exchange.status ?? 0;
  if (status === 0) return "none";
  return `${Math.floor(status / 100)}xx`;
}

function detailOf(refusal: Refusal): string | undefined {
  switch (refusal.tag) {
    case "answer_lost":
    case "malformed":
      return refusal.reason;
    case "unconfirmed_keys":
      return `confirmed ${Math.round(refusal.ageMs)} ms ago`;
    case "crashes_servers":
      return `${refusal.crashes} servers ended, kept back for ${
        Math.round(refusal.leftMs)
      } ms more`;
    case "servers_full":
      return `${refusal.asked} servers asked`;
    default:
      return undefined;
  }
}
