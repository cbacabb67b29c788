/** Counts what the tries of one request came to, and what may follow from it. */

import type { Refusal } from "../core/refusal.ts";
import { mayRunMoreThanOnce, type Route } from "../core/routes/route.ts";

/** Servers asked for one request while each says that it did not run it. */
const MAX_REFUSALS = 3;
/**
 * Times that a request which has lost a run waits for a place: with the pause between them
 * two seconds. A caller cut off by this VM alone can then still go on at another one.
 */
const MAX_WAITS = 8;
/**
 * Time that a request spends on servers that cannot be reached, in milliseconds. Where they are
 * silent, the fault may be this VM's, and its caller gets through at another one.
 */
const LONGEST_SEARCH_MS = 1_000;
/** Pause before a request that waits for a place asks for one again, in milliseconds. */
const PLACE_PAUSE_MS = 250;

/** What has become of the tries so far. */
export class RunTally {
  #runs = 0;
  #refusals = 0;
  #unsent = 0;
  #unsentMs = 0;
  #waits = 0;
  #mayHaveRun = false;

  /** Servers on which the request has run, or may have. */
  get runs(): number {
    return this.#runs;
  }

  /** Notes that a server has run the request, or may have. */
  ran(): void {
    this.#runs += 1;
    this.#mayHaveRun = true;
    this.#forgetRefusals();
  }

  /**
   * How long a request that has lost a run waits before it asks for a place again, in
   * milliseconds; undefined where it ends. It waits for as long as its servers say that they take
   * nothing, if it has the time: its caller has waited for the run, and could only begin anew.
   * Where nothing tells when one takes it, it waits for a while if it is `owed` its end.
   */
  waitMs({ opensInMs, leftMs, owed }: {
    opensInMs: number | undefined;
    leftMs: number;
    owed: boolean;
  }): number | undefined {
    if (!owed && this.#runs === 0) return undefined;
    if (opensInMs !== undefined && opensInMs < leftMs) {
      return Math.min(PLACE_PAUSE_MS, opensInMs);
    }
    return owed && this.noteWait() ? PLACE_PAUSE_MS : undefined;
  }

  /** Notes that no server takes the request now; returns whether to ask again later. */
  noteWait(): boolean {
    this.#waits += 1;
    this.#forgetRefusals();
    return this.#waits <= MAX_WAITS;
  }

  /** Notes that a try is under way whose end will not be known. */
  leftUnderWay(): void {
    this.#mayHaveRun = true;
  }

  /** Notes a server that did not run the request; returns whether to ask another. */
  notRun(): boolean {
    this.#refusals += 1;
    return this.#refusals < this.#mostRefusals;
  }

  /**
   * Notes a try that was not sent and took so long; returns whether to make another. Lists lag
   * behind crashes of many servers, and those that are there must be found: while servers are
   * left that pass for sound, time bounds the search, not their number.
   */
  notSent(
    { tookMs, hasSound }: { tookMs: number; hasSound: boolean },
  ): boolean {
    this.#unsent += 1;
    this.#unsentMs += tookMs;
    return this.#unsent <= this.#mostRefusals ||
      (hasSound && this.#unsentMs < LONGEST_SEARCH_MS);
  }

  /** Whether the route allows a further run, besides those under way. */
  mayRetry(route: Route, underWay = 0): boolean {
    return mayRunMoreThanOnce(route) && this.#runs + underWay < route.maxRuns;
  }

  /** Why the request ends where no server takes it. */
  noServerRefusal(
    { reason = "no further server takes it", opensInMs }: {
      reason?: string;
      /** Milliseconds until one of its servers takes requests, if all rest or are cold. */
      opensInMs?: number;
    } = {},
  ): Refusal {
    if (this.#mayHaveRun) return { tag: "answer_lost", reason };
    const asked = this.#refusals + this.#unsent;
    if (asked > 0) return { tag: "servers_full", asked, opensInMs };
    return { tag: "no_server", opensInMs };
  }

  /** Why the request ends that crashes the servers that run it. */
  crashRefusal(
    { crashes, leftMs }: { crashes: number; leftMs: number },
  ): Refusal {
    if (!this.#mayHaveRun) return { tag: "crashes_servers", crashes, leftMs };
    const reason = `${crashes} servers have ended while they ran it`;
    return { tag: "answer_lost", reason };
  }

  /** Why the request ends where its time is up. */
  timeUpRefusal(): Refusal {
    return this.#mayHaveRun ? { tag: "expired" } : { tag: "expired_unsent" };
  }

  /** After a wait one server is asked at a time, as each refusal costs a retry. */
  get #mostRefusals(): number {
    return this.#waits > 0 ? 1 : MAX_REFUSALS;
  }

  /** Refusals count anew for each run: a run that breaks off says nothing of other servers. */
  #forgetRefusals(): void {
    this.#refusals = 0;
    this.#unsent = 0;
    this.#unsentMs = 0;
  }
}
