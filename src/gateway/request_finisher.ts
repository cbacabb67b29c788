/** How a request ends that gets no whole answer, or waits for a place before that. */

import type { Refusal } from "../core/refusal.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import type { RequestLog } from "./request_log.ts";
import type { RunSummary } from "./run_summary.ts";
import type { RunTally } from "./run_tally.ts";

/**
 * Part of the wait for servers that rest, over which their callers come back: all at once they
 * would fill the first of them again.
 */
const RETURN_SPREAD = 0.25;

interface Deps {
  readonly requestLog: RequestLog;
  readonly chance: () => number;
}

/** What the end of a request depends on where no server takes it. */
export interface NoServerContext {
  /** Why, where it is not the servers. */
  readonly reason?: string | undefined;
  /** Milliseconds until a server takes it, where all say so. */
  readonly opensInMs: number | undefined;
  /** Time that the request has left, in milliseconds. */
  readonly leftMs: number;
  /** Whether this VM has given up a run that its server had not ended. */
  readonly hasAbandonedRun: boolean;
}

/** Ends one request. */
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
   * Ends a request that no server takes. One that has lost a run waits for a place before that:
   * returns for how long then, in milliseconds. It is owed its end where its caller has a part
   * of the answer or this VM gave the run up.
   */
  waitOrRefuse(
    { reason, opensInMs, leftMs, hasAbandonedRun: leftRunning }:
      NoServerContext,
  ): number | undefined {
    const owed = this.#exchange.state === "begun" || leftRunning;
    const waitMs = this.#tally.nextWaitMs({ opensInMs, leftMs, owed });
    if (waitMs !== undefined) return waitMs;
    const toldMs = opensInMs === undefined
      ? undefined
      : this.#spread(opensInMs);
    this.refuse(this.#tally.noServerRefusal({ reason, opensInMs: toldMs }));
    return undefined;
  }

  /** Ends a request whose time is up. */
  refuseExpired(): void {
    this.refuse(this.#tally.timeoutRefusal());
  }

  /** Gives the final answer, or cuts a stream that has begun. */
  refuse(refusal: Refusal): void {
    const { requestLog } = this.#deps;
    if (this.#exchange.isOver) return;
    if (this.#exchange.state === "begun") {
      this.#exchange.cut();
      requestLog.cut(this.#exchange, { refusal, run: this.#summary() });
    } else {
      this.#exchange.refuse(refusal);
      requestLog.refused(this.#exchange, refusal);
    }
  }

  #spread(waitMs: number): number {
    return waitMs * (1 + RETURN_SPREAD * this.#deps.chance());
  }
}
