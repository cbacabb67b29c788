/** What an entry knows of one backend server, and whether to send it work. */

import type { BackendId } from "../ids.ts";

/** Consecutive failures after which a server is ejected. */
const EJECT_AFTER_FAILURES = 3;
/** First ejection, doubled by each further one. */
const FIRST_EJECTION_MS = 1_000;
/** Longest ejection. */
const LONGEST_EJECTION_MS = 30_000;

/** How a try ended, as far as the health of the server goes. */
export type TryOutcome = "answered" | "refused" | "failed";

/** Load as a model server reported it. */
export interface LoadReport {
  /** Requests being worked on. */
  readonly running: number;
  /** Requests waiting for a slot. */
  readonly waiting: number;
  /** When the report arrived here, by the monotonic clock, in milliseconds. */
  readonly receivedAtMs: number;
}

interface ServerState {
  inFlight: number;
  failures: number;
  ejections: number;
  ejectedUntilMs: number;
  /** Until when the server wants nothing, as it has said. */
  restsUntilMs: number;
  report: LoadReport | undefined;
  inFlightAtReport: number;
}

/** Load and health of all backend servers, as this entry sees them. */
export class ServerPool {
  readonly #states = new Map<BackendId, ServerState>();
  readonly #leaving = new Set<BackendId>();

  /** Requests that this entry has in flight at the server. */
  inFlight(id: BackendId): number {
    return this.#states.get(id)?.inFlight ?? 0;
  }

  /**
   * Expected number of requests at the server: the last report, corrected by
   * what this entry has sent and ended since then.
   */
  expectedLoad(id: BackendId): number {
    const state = this.#states.get(id);
    if (state === undefined) return 0;
    if (state.report === undefined) return state.inFlight;
    const reported = state.report.running + state.report.waiting;
    const since = state.inFlight - state.inFlightAtReport;
    return Math.max(state.inFlight, reported + since);
  }

  /** Whether the server may get new work. */
  isAvailable(id: BackendId, nowMs: number): boolean {
    if (this.#leaving.has(id)) return false;
    return this.returnsInMs(id, nowMs) === 0;
  }

  /** Milliseconds until a server that is ejected or rests is used again; 0 when it may be now. */
  returnsInMs(id: BackendId, nowMs: number): number {
    const { ejectedUntilMs = 0, restsUntilMs = 0 } = this.#states.get(id) ?? {};
    return Math.max(0, ejectedUntilMs - nowMs, restsUntilMs - nowMs);
  }

  /** Whether a server wants nothing now, as it has said. */
  isResting(id: BackendId, nowMs: number): boolean {
    return (this.#states.get(id)?.restsUntilMs ?? 0) > nowMs;
  }

  /** Notes that a server wants nothing for so long; a shorter rest does not shorten a longer one. */
  rest(
    id: BackendId,
    { restMs, nowMs }: { restMs: number; nowMs: number },
  ): void {
    const state = this.#state(id);
    state.restsUntilMs = Math.max(state.restsUntilMs, nowMs + restMs);
  }

  /** Servers that are leaving and get no new work. */
  setLeaving(ids: Iterable<BackendId>): void {
    this.#leaving.clear();
    for (const id of ids) this.#leaving.add(id);
  }

  /** Counts a request that is about to be sent. */
  begin(id: BackendId): void {
    this.#state(id).inFlight += 1;
  }

  /** Counts the end of a request and learns from how it ended. */
  end(
    id: BackendId,
    { outcome, nowMs }: { outcome: TryOutcome; nowMs: number },
  ): void {
    const state = this.#state(id);
    state.inFlight -= 1;
    if (outcome === "answered") {
      state.failures = 0;
      state.ejections = 0;
      return;
    }
    state.failures += 1;
    // A refused connection shows at once that nothing listens there.
    if (outcome === "refused" || state.failures >= EJECT_AFTER_FAILURES) {
      this.#eject(state, nowMs);
    }
  }

  /** Takes in a load report. */
  report(id: BackendId, report: LoadReport): void {
    const state = this.#state(id);
    state.report = report;
    state.inFlightAtReport = state.inFlight;
  }

  /** Forgets servers that are no longer declared and idle. */
  keepOnly(ids: ReadonlySet<BackendId>): void {
    for (const [id, state] of this.#states) {
      if (!ids.has(id) && state.inFlight === 0) this.#states.delete(id);
    }
  }

  #eject(state: ServerState, nowMs: number): void {
    const length = FIRST_EJECTION_MS * 2 ** Math.min(state.ejections, 10);
    state.ejectedUntilMs = nowMs + Math.min(length, LONGEST_EJECTION_MS);
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
        restsUntilMs: 0,
        report: undefined,
        inFlightAtReport: 0,
      };
      this.#states.set(id, state);
    }
    return state;
  }
}
