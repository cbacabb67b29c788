/** Counts the outcomes of one request's attempts, and decides whether further ones may follow. */

import type { PartKey } from "../core/ids.ts";
import { describeCulprit, type Refusal } from "../core/refusal.ts";
import { mayRunMoreThanOnce, type Route } from "../core/routes/route.ts";
import type { DispatchRecord } from "./dispatch_record.ts";

/** Servers tried per run of a request while each replies that it did not process it. */
const MAX_REFUSALS_PER_RUN = 3;
/**
 * Times that a request which lost a run waits for an available server: two seconds in total at
 * `WAIT_INTERVAL_MS`. If only this VM cannot reach the servers, its caller still has time to retry
 * through another VM.
 */
const MAX_WAITS = 8;
/**
 * Maximum time that a request spends on unreachable servers. If connections time out, the fault
 * may lie with this VM, and the caller can get through via another one.
 */
const MAX_UNREACHABLE_SEARCH_MS = 1_000;
/** Maximum time between two checks for an available server by a waiting request. */
const WAIT_INTERVAL_MS = 250;

/** Outcomes of the attempts so far. */
export class RunTally {
  readonly #dispatches: DispatchRecord;
  #runs = 0;
  #refusals = 0;
  /** Refusals by servers that do not serve such requests at all. */
  #unserved = 0;
  #unsent = 0;
  #unsentTimeMs = 0;
  #waits = 0;

  constructor(dispatches: DispatchRecord) {
    this.#dispatches = dispatches;
  }

  /** Number of times the request has run on a server, or may have. */
  get runs(): number {
    return this.#runs;
  }

  /** Records that a server ran the request, or may have. */
  recordRun(): void {
    this.#runs += 1;
    this.#resetRefusals();
  }

  /**
   * Milliseconds until a request without an available server should check again; undefined if it
   * should be refused. A request that lost a run, or that `mustComplete`, waits until a server
   * becomes available if that is within its deadline: otherwise its caller, who already waited for
   * the run, would have to start over. If that time is unknown or too late, it waits only if it
   * `mustComplete`, and at most `MAX_WAITS` times.
   */
  nextWaitMs({ opensInMs, leftMs, mustComplete }: {
    opensInMs: number | undefined;
    leftMs: number;
    mustComplete: boolean;
  }): number | undefined {
    if (!mustComplete && this.#runs === 0) return undefined;
    if (opensInMs !== undefined && opensInMs < leftMs) {
      return Math.min(WAIT_INTERVAL_MS, opensInMs);
    }
    return mustComplete && this.recordWait() ? WAIT_INTERVAL_MS : undefined;
  }

  /** Records that no server is available; returns whether to check again later. */
  recordWait(): boolean {
    this.#waits += 1;
    this.#resetRefusals();
    return this.#waits <= MAX_WAITS;
  }

  /** Records a server that did not run the request; returns whether to try another. */
  recordRefusal(): boolean {
    this.#refusals += 1;
    return this.#refusals < this.#maxRefusals;
  }

  /** Like `recordRefusal`, for a server that does not serve such requests at all. */
  recordUnserved(): boolean {
    this.#unserved += 1;
    return this.recordRefusal();
  }

  /**
   * Records an attempt that could not be sent, and its duration; returns whether to try another
   * server. After many servers crash, the server list still names them for a while, and the live
   * ones must be found. So while a server is left that counts as healthy, the search is limited by
   * time rather than by the number of servers.
   */
  recordUnsent(
    { tookMs, hasSound }: { tookMs: number; hasSound: boolean },
  ): boolean {
    this.#unsent += 1;
    this.#unsentTimeMs += tookMs;
    return this.#unsent <= this.#maxRefusals ||
      (hasSound && this.#unsentTimeMs < MAX_UNREACHABLE_SEARCH_MS);
  }

  /** Whether the route allows a further run in addition to those in flight. */
  mayRetry(route: Route, inFlight = 0): boolean {
    return mayRunMoreThanOnce(route) && this.#runs + inFlight < route.maxRuns;
  }

  /** Refusal for a request that no server accepts. */
  noServerRefusal(
    { reason = "no other server accepts the request", opensInMs }: {
      reason?: string;
      /** Milliseconds until a server accepts requests, if all are backing off, cold or full. */
      opensInMs?: number;
    } = {},
  ): Refusal {
    if (this.#dispatches.mayHaveRun) return { tag: "answer_lost", reason };
    const asked = this.#refusals + this.#unsent;
    if (asked > 0 && asked === this.#unserved) {
      return { tag: "not_served", asked };
    }
    if (asked > 0) return { tag: "servers_full", asked, opensInMs };
    return { tag: "no_server", opensInMs };
  }

  /** Refusal for a request that crashes the servers that run it. */
  crashRefusal(
    { crashes, leftMs, parts }: {
      crashes: number;
      leftMs: number;
      parts: readonly PartKey[];
    },
  ): Refusal {
    if (!this.#dispatches.mayHaveRun) {
      return { tag: "crashes_servers", crashes, leftMs, parts };
    }
    const reason = `${crashes} backend servers crashed while running ${
      describeCulprit(parts)
    }`;
    return { tag: "answer_lost", reason };
  }

  /** Refusal for a request that must not outlast this process. */
  stopRefusal(): Refusal {
    return this.#dispatches.mayHaveRun
      ? { tag: "answer_lost", reason: "this VM is shutting down" }
      : { tag: "stopping" };
  }

  /** Refusal for a request that exceeded its deadline. */
  timeoutRefusal(): Refusal {
    return this.#dispatches.mayHaveRun
      ? { tag: "expired" }
      : { tag: "expired_unsent" };
  }

  /** After a wait only one server is tried at a time, as each refusal uses up a retry. */
  get #maxRefusals(): number {
    return this.#waits > 0 ? 1 : MAX_REFUSALS_PER_RUN;
  }

  /** Refusals are counted per run and wait, as a broken run says nothing about other servers. */
  #resetRefusals(): void {
    this.#refusals = 0;
    this.#unserved = 0;
    this.#unsent = 0;
    this.#unsentTimeMs = 0;
  }
}
