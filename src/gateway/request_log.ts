/** Logs requests: all that failed or needed several attempts, and a sample of the others. */

import type { RetryBudgetState } from "../core/limits/retry_budget.ts";
import { describeCulprit, type Refusal } from "../core/refusal.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { Logger } from "../runtime/logger.ts";
import type { RoutingFollower } from "../store/routing_follower.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import type { RunSummary } from "./run_summary.ts";
import { describeAttempt } from "./attempt_record.ts";

const MS_PER_SECOND = 1_000;
/** One in this many requests that succeeded on the first attempt is logged. */
const SUCCESS_SAMPLE_INTERVAL = 50;

/** Attempt outcomes that leave open whether the request ran to completion. */
const FAILED_OUTCOMES: ReadonlySet<string> = new Set([
  "broken",
  "stream_broken",
  "given_up",
]);

/** Writes a log line for each request worth investigating, and counts all requests in metrics. */
export class RequestLog {
  readonly #logger: Logger;
  readonly #metrics: GatewayMetrics;
  readonly #routing: RoutingFollower;
  #successes = 0;

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

  /** Records a request that was refused without a response from a server. */
  recordRefusal(exchange: CallerExchange, refusal: Refusal): void {
    this.#metrics.refusals.inc({ reason: refusal.tag });
    this.#logger.info("Request refused", {
      attempt: exchange.head.attempt,
      path: exchange.path,
      refusal: refusal.tag,
      detail: detailOf(refusal),
      age_ms: Math.round(exchange.ageMs()),
    });
  }

  /** Records a request of another VM that this VM does not run. */
  recordDeclined({ head, origin }: CallerExchange, reason: string): void {
    this.#metrics.declinedForwards.inc();
    this.#logger.info("Forwarded request declined", {
      attempt: head.attempt,
      forwarded_from: origin?.vm,
      reason,
    });
  }

  /** Records a stream that this VM cut before it was complete, and the reason. */
  recordStreamCut(
    exchange: CallerExchange,
    { refusal, run }: { refusal: Refusal; run: RunSummary },
  ): void {
    this.#metrics.streamsCut.inc({ reason: refusal.tag });
    this.#logger.info("Stream cut before completion", {
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

  /** Records the end of a request that was admitted. */
  recordEnd(exchange: CallerExchange, run: RunSummary): void {
    const status = exchange.status ?? 0;
    this.#count(exchange, run);
    const sends = run.tries.length + (run.forwardedTo === undefined ? 0 : 1);
    const isRoutine = status >= 200 && status < 300 && sends === 1 &&
      exchange.state === "ended";
    if (isRoutine && this.#successes++ % SUCCESS_SAMPLE_INTERVAL !== 0) return;
    this.#logger.info("Request ended", {
      attempt: exchange.head.attempt,
      path: exchange.path,
      // Computed only if an attempt failed, as it hashes the body: matches log lines across VMs.
      request: run.tries.some(({ outcome }) => FAILED_OUTCOMES.has(outcome))
        ? run.identity.key
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
      forwarded_to: run.forwardedTo,
      forwarded_from: run.forwardedFrom,
      tries: run.tries.map((attempt) =>
        describeAttempt(attempt, exchange.arrivedMs)
      ).join(
        "; ",
      ),
    });
  }

  #count(exchange: CallerExchange, { service, tries }: RunSummary): void {
    const { requests, duration, attempts: triesMetric } = this.#metrics;
    requests.inc({ service, outcome: outcomeOf(exchange) });
    duration.observe({ service }, exchange.ageMs() / MS_PER_SECOND);
    for (const { outcome } of tries) triesMetric.inc({ service, outcome });
  }
}

function describeRetryBudget(
  { available: left, earned, unacked: unread, allowance, held, requests, vms }:
    RetryBudgetState,
): string {
  return `${left.toFixed(1)} available: ${earned.toFixed(1)} earned, ` +
    `${allowance.toFixed(1)} of the allowance shared by ${
      vms ?? "unknown"
    } VMs, ` +
    `${held} held, ${unread.toFixed(1)} unacknowledged, ${requests} requests`;
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
      return `${refusal.crashes} servers crashed while running ${
        describeCulprit(refusal.parts)
      }; quarantined for ${Math.round(refusal.leftMs)} more ms`;
    case "servers_full":
    case "not_served":
      return `${refusal.asked} servers tried`;
    default:
      return undefined;
  }
}
