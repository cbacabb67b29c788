/** Tracks the load and health of backend servers, and decides whether one may get new requests. */

import type { BackendId } from "../ids.ts";

/** Consecutive failures after which a server is ejected. */
const EJECT_AFTER_FAILURES = 3;
/** Duration of the first ejection; it doubles with each further one. */
const FIRST_EJECTION_MS = 1_000;
const MAX_EJECTION_MS = 30_000;

/** Outcome of an attempt, as it affects the health of its server. */
export type AttemptOutcome = "answered" | "refused" | "failed";

/** Load that a model server has reported. */
export interface LoadReport {
  /** Requests being processed. */
  readonly running: number;
  /** Requests waiting for a slot. */
  readonly waiting: number;
  /** When this entry received the report, by the monotonic clock, in milliseconds. */
  readonly receivedAtMs: number;
}

interface ServerState {
  inFlight: number;
  failures: number;
  ejections: number;
  ejectedUntilMs: number;
  /** End of the backoff that the server has requested. */
  backoffUntilMs: number;
  report: LoadReport | undefined;
  inFlightAtReport: number;
}

/** Load and health of all backend servers, as seen by this entry. */
export class ServerPool {
  readonly #states = new Map<BackendId, ServerState>();
  readonly #draining = new Set<BackendId>();

  /** Requests that this entry has in flight at the server. */
  inFlight(id: BackendId): number {
    return this.#states.get(id)?.inFlight ?? 0;
  }

  /**
   * Estimated number of requests at the server: the last report, adjusted by the requests that this
   * entry has started and finished since.
   */
  expectedLoad(id: BackendId): number {
    const state = this.#states.get(id);
    if (state === undefined) return 0;
    if (state.report === undefined) return state.inFlight;
    const reported = state.report.running + state.report.waiting;
    const since = state.inFlight - state.inFlightAtReport;
    return Math.max(state.inFlight, reported + since);
  }

  /** Whether the server may get new requests. */
  isAvailable(id: BackendId, nowMs: number): boolean {
    if (this.#draining.has(id)) return false;
    return this.availableInMs(id, nowMs) === 0;
  }

  /** Milliseconds until neither an ejection nor a backoff applies to a server; 0 if none does. */
  availableInMs(id: BackendId, nowMs: number): number {
    const { ejectedUntilMs = 0, backoffUntilMs = 0 } = this.#states.get(id) ??
      {};
    return Math.max(0, ejectedUntilMs - nowMs, backoffUntilMs - nowMs);
  }

  /** Whether requests are held back because the server has requested a backoff. */
  isBackingOff(id: BackendId, nowMs: number): boolean {
    return (this.#states.get(id)?.backoffUntilMs ?? 0) > nowMs;
  }

  /** Starts the backoff that a server has requested; never shortens one that is in force. */
  backOff(
    id: BackendId,
    { restMs, nowMs }: { restMs: number; nowMs: number },
  ): void {
    const state = this.#state(id);
    state.backoffUntilMs = Math.max(state.backoffUntilMs, nowMs + restMs);
  }

  /** Replaces the set of servers that are shutting down and get no new requests. */
  setDraining(ids: Iterable<BackendId>): void {
    this.#draining.clear();
    for (const id of ids) this.#draining.add(id);
  }

  /** Counts a request that is about to be sent. */
  begin(id: BackendId): void {
    this.#state(id).inFlight += 1;
  }

  /** Counts the end of a request and updates the health of its server. */
  end(
    id: BackendId,
    { outcome, nowMs }: { outcome: AttemptOutcome; nowMs: number },
  ): void {
    const state = this.#state(id);
    state.inFlight -= 1;
    if (outcome === "answered") {
      state.failures = 0;
      state.ejections = 0;
      return;
    }
    state.failures += 1;
    // A single refused connection is proof that no process listens there.
    if (outcome === "refused" || state.failures >= EJECT_AFTER_FAILURES) {
      this.#eject(state, nowMs);
    }
  }

  /** Stores the latest load report of a server. */
  report(id: BackendId, report: LoadReport): void {
    const state = this.#state(id);
    state.report = report;
    state.inFlightAtReport = state.inFlight;
  }

  #eject(state: ServerState, nowMs: number): void {
    const length = FIRST_EJECTION_MS * 2 ** Math.min(state.ejections, 10);
    state.ejectedUntilMs = nowMs + Math.min(length, MAX_EJECTION_MS);
    state.ejections += 1;
    state.failures = 0;
  }

  #state(id: BackendId): ServerState {
    let state = this.#states.get(id);
    if (state === undefined) {
      state = {
        inFlight: 0,
        failures: 0,
        ejections: 0,
        ejectedUntilMs: 0,
        backoffUntilMs: 0,
        report: undefined,
        inFlightAtReport: 0,
      };
      this.#states.set(id, state);
    }
    return state;
  }
}
