/** Counts what the tries of one request came to, and what may follow from it. */

import type { Refusal } from "../core/refusal.ts";
import { mayRunAgain, type Route } from "../core/routes/route.ts";

/** Servers asked for one request while each says that it did not run it. */
const MAX_REFUSALS = 3;
/**
 * Times that a stream which has begun waits for a place before it is cut: with the pause
 * between them two seconds, after which its caller does better to go on at another VM.
 */
const MAX_WAITS = 8;

/** What has become of the tries so far. */
export class RunTally {
  #runs = 0;
  #refusals = 0;
  #unsent = 0;
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

  /** Notes a run of a stream that the caller has a part of already. */
  resumed(): void {
    this.#runs += 1;
    this.#forgetRefusals();
  }

  /** Notes that no server takes a stream that has begun; returns whether to ask again later. */
  mayAskLater(): boolean {
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
    return this.#refusals < MAX_REFUSALS;
  }

  /** Notes a try that was not sent; returns whether to make another. */
  notSent(): boolean {
    this.#unsent += 1;
    return this.#unsent <= MAX_REFUSALS;
  }

  /** Whether the route allows a further run, besides those under way. */
  mayRepeat(route: Route, underWay = 0): boolean {
    return mayRunAgain(route) && this.#runs + underWay < route.maxRuns;
  }

  /** Why the request ends where no server takes it. */
  noServerRefusal(): Refusal {
    if (this.#mayHaveRun) {
      return { tag: "answer_lost", reason: "no further server takes it" };
    }
    const asked = this.#refusals + this.#unsent;
    return asked > 0 ? { tag: "servers_full", asked } : { tag: "no_server" };
  }

  /** Why the request ends where its time is up. */
  timeUpRefusal(): Refusal {
    return this.#mayHaveRun ? { tag: "expired" } : { tag: "expired_unsent" };
  }

  /** Refusals count anew for each run: a run that breaks off says nothing of other servers. */
  #forgetRefusals(): void {
    this.#refusals = 0;
    this.#unsent = 0;
  }
}
