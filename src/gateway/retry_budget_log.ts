/** Logs periodically what the retry budget of each service was charged and paid. */

import type { RetryBudget } from "../core/limits/retry_budget.ts";
import type { DeploymentBounds } from "../platform/vm_settings_wire.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";

interface Deps {
  readonly retryBudget: Pick<RetryBudget, "takeReports">;
  readonly bounds: Pick<DeploymentBounds, "retryWindowMs">;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Writes one line per window for each service with retries. */
export class RetryBudgetLog {
  readonly #deps: Deps;
  readonly #startedMs: number;
  #reportedMs: number;

  constructor(deps: Deps) {
    this.#deps = deps;
    this.#startedMs = deps.clock.monotonicMs();
    this.#reportedMs = this.#startedMs;
  }

  /** Writes the lines once a window has passed since the last ones. */
  logIfDue(): void {
    const { retryBudget, bounds, clock, logger } = this.#deps;
    const nowMs = clock.monotonicMs();
    const windowMs = nowMs - this.#reportedMs;
    if (windowMs < bounds.retryWindowMs) return;
    this.#reportedMs = nowMs;
    for (const { service, counts, state } of retryBudget.takeReports(nowMs)) {
      if (
        counts.sent + counts.arrived + state.unacked + state.unsettled === 0
      ) continue;
      logger.info("Retries of a window", {
        service,
        window_ms: Math.round(windowMs),
        uptime_ms: Math.round(nowMs - this.#startedMs),
        requests: counts.requests,
        late_requests: counts.lateRequests,
        sent: counts.sent,
        charged_to_allowance: Number(counts.charged.toFixed(1)),
        arrived: counts.arrived,
        slowest_arrival_ms: Math.round(counts.slowestArrivalMs),
        unacknowledged: Number(state.unacked.toFixed(1)),
        unsettled: Number(state.unsettled.toFixed(1)),
        oldest_unacknowledged_ms: Math.round(state.oldestUnackedMs),
        earned: Number(state.earned.toFixed(1)),
        allowance_left: Number(state.allowance.toFixed(1)),
        vms: state.vms,
      });
    }
  }
}
