/** Ends requests that get no complete response, after a wait for a server if one is worthwhile. */

import type { Refusal } from "../core/refusal.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import type { RequestLog } from "./request_log.ts";
import type { RunSummary } from "./run_summary.ts";
import type { RunTally } from "./run_tally.ts";

/**
 * Jitter on the advertised retry delay while all servers back off. Without it, all callers would
 * return simultaneously and overload the first server that is available again.
 */
const RETRY_DELAY_JITTER = 0.25;

interface Deps {
  readonly requestLog: RequestLog;
  readonly chance: () => number;
}

/** Determines how a request ends that no server accepts. */
export interface NoServerContext {
  /** Reason for the refusal, if the servers are not the cause. */
  readonly reason?: string | undefined;
  /** Milliseconds until a server accepts the request; undefined if unknown. */
  readonly opensInMs: number | undefined;
  /** Time left until the deadline of the request. */
  readonly leftMs: number;
  /** Whether this VM abandoned a run that its server had not ended. */
  readonly hasAbandonedRun: boolean;
}

/** Ends one request with a refusal, or by cutting its stream. */
export class RequestFinisher {
  readonly #deps: Deps;
  readonly #exchange: CallerExchange;
  readonly #tally: RunTally;
  readonly #summary: () => RunSummary;

  constructor(
    { requestLog, chance }: Deps,
    { exchange, tally, summary }: {
      exchange: CallerExchange;
      tally: RunTally;
      summary: () => RunSummary;
    },
  ) {
    this.#deps = { requestLog, chance };
    this.#exchange = exchange;
    this.#tally = tally;
    this.#summary = summary;
  }

  /**
   * Refuses a request that no server accepts, unless it should wait for one: returns the wait in
   * milliseconds then. A request must complete if its caller has received part of the response, or
   * if this VM abandoned its run.
   */
  waitOrRefuse(
    { reason, opensInMs, leftMs, hasAbandonedRun }: NoServerContext,
  ): number | undefined {
    const mustComplete = this.#exchange.state === "begun" || hasAbandonedRun;
    const waitMs = this.#tally.nextWaitMs({ opensInMs, leftMs, mustComplete });
    if (waitMs !== undefined) return waitMs;
    const retryAfterMs = opensInMs === undefined
      ? undefined
      : this.#withJitter(opensInMs);
    this.refuse(
      this.#tally.noServerRefusal({ reason, opensInMs: retryAfterMs }),
    );
    return undefined;
  }

  /** Refuses a request that exceeded its deadline. */
  refuseExpired(): void {
    this.refuse(this.#tally.timeoutRefusal());
  }

  /** Sends the refusal, or cuts the stream if the response has begun. */
  refuse(refusal: Refusal): void {
    const { requestLog } = this.#deps;
    if (this.#exchange.isFinished) return;
    if (this.#exchange.state === "begun") {
      this.#exchange.cut();
      requestLog.recordStreamCut(this.#exchange, {
        refusal,
        run: this.#summary(),
      });
    } else {
      this.#exchange.refuse(refusal);
      requestLog.recordRefusal(this.#exchange, refusal);
    }
  }

  #withJitter(waitMs: number): number {
    return waitMs * (1 + RETRY_DELAY_JITTER * this.#deps.chance());
  }
}
