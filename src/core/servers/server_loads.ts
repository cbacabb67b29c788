/** What this VM has under way at each backend server, and how they have done lately. */

import type { InstanceId } from "../ids.ts";
import { RecentAnswers } from "./decaying_answer_counts.ts";
import type { ServerReport } from "./server_report.ts";

/** Failures in a row after which a server is avoided. */
const FAILURES_TO_EJECT = 3;
/** Share of recent answers that failed, from which a server is avoided. */
const EJECT_FAILURE_RATE = 0.3;
/** Weight of the newest answer in the failure rate. */
const RATE_WEIGHT = 0.15;
/** Time in which half of a failure rate is forgotten, so that a server is tried again. */
const RATE_HALF_LIFE_MS = 1_000;
/** How long a server is avoided the first time, in milliseconds. */
const EJECT_MS = 1_500;
/** Longest that a server is avoided, in milliseconds. */
const MAX_EJECT_MS = 6_000;

/** VMs that must have seen failures before all avoid a server: one may be cut off. */
const FLEET_WITNESSES = 2;
/** Recent failures at all VMs, at least, before all avoid a server. */
const FLEET_FAILURES = 2.5;
/** Share of recent answers at all VMs that failed, from which all avoid a server. */
const FLEET_FAILURE_RATE = 0.3;
/** Count of recent failures from which a VM is a witness of them. */
const WITNESS_FAILURES = 0.5;
/** Count of recent answers below which a server is not worth a report. */
const WORTH_TELLING = 0.1;

interface Row {
  inFlight: number;
  /** Work under way, in predicted milliseconds of a server. */
  work: number;
  /** What other VMs have told. */
  elsewhere: ServerReport | undefined;
  readonly recent: RecentAnswers;
  failuresInRow: number;
  failureRate: number;
  /** When the rate was last brought up to date. */
  rateAtMs: number;
  ejectedUntilMs: number;
  ejections: number;
}

/** Loads and health of all servers, as seen from here. */
export class ServerLoads {
  readonly #rows = new Map<InstanceId, Row>();

  /** Notes that a request was sent. */
  begin(instance: InstanceId, work: number): void {
    const row = this.#row(instance);
    row.inFlight += 1;
    row.work += work;
  }

  /** Notes that a request has ended, however it did. */
  end(instance: InstanceId, work: number): void {
    const row = this.#row(instance);
    row.inFlight = Math.max(0, row.inFlight - 1);
    row.work = Math.max(0, row.work - work);
  }

  /** Notes that part of a request's work is done. */
  reduceWork(instance: InstanceId, work: number): void {
    const row = this.#row(instance);
    row.work = Math.max(0, row.work - work);
  }

  /** Takes in what all other VMs together have told, instead of what they told before. */
  setPeerReports(reports: ReadonlyMap<InstanceId, ServerReport>): void {
    for (const row of this.#rows.values()) row.elsewhere = undefined;
    for (const [instance, report] of reports) {
      this.#row(instance).elsewhere = report;
    }
  }

  /** Requests of this VM under way at a server. */
  inFlight(instance: InstanceId): number {
    return this.#rows.get(instance)?.inFlight ?? 0;
  }

  /** Predicted work under way at a server, from all VMs. */
  work(instance: InstanceId): number {
    const row = this.#rows.get(instance);
    if (row === undefined) return 0;
    return row.work + (row.elsewhere?.workMs ?? 0);
  }

  /** What this VM has to tell of servers. */
  localReports(nowMs: number): ServerReport[] {
    return [...this.#rows]
      .map(([instance, row]) => reportOf(instance, { row, nowMs }))
      .filter(({ workMs, answers }) => workMs > 0 || answers > WORTH_TELLING);
  }

  /** Notes a good answer. */
  recordSuccess(instance: InstanceId, nowMs: number): void {
    const row = this.#row(instance);
    row.recent.note(false, nowMs);
    fade(row, nowMs);
    row.failuresInRow = 0;
    row.failureRate *= 1 - RATE_WEIGHT;
    if (row.failureRate < EJECT_FAILURE_RATE / 4) row.ejections = 0;
  }

  /** Notes a failure; returns for how long the server is avoided from now on, if it is. */
  recordFailure(instance: InstanceId, nowMs: number): number | undefined {
    this.#row(instance).recent.note(true, nowMs);
    return this.recordRejection(instance, nowMs);
  }

  /**
   * Notes that a server has not run a request, as when it is full. Other VMs are not told:
   * they see the work that is under way there. Returns as `failed` does.
   */
  recordRejection(instance: InstanceId, nowMs: number): number | undefined {
    const row = this.#row(instance);
    fade(row, nowMs);
    row.failuresInRow += 1;
    row.failureRate += RATE_WEIGHT * (1 - row.failureRate);
    const bad = row.failuresInRow >= FAILURES_TO_EJECT ||
      row.failureRate >= EJECT_FAILURE_RATE;
    if (!bad || row.ejectedUntilMs > nowMs) return undefined;
    return this.#eject(row, nowMs);
  }

  /** Avoids a server at once, as when it does not take connections. */
  recordUnreachable(instance: InstanceId, nowMs: number): number | undefined {
    const row = this.#row(instance);
    row.recent.note(true, nowMs);
    if (row.ejectedUntilMs > nowMs) return undefined;
    return this.#eject(row, nowMs);
  }

  /** Whether a server is avoided now. */
  isEjected(instance: InstanceId, nowMs: number): boolean {
    const row = this.#rows.get(instance);
    if (row === undefined) return false;
    return row.ejectedUntilMs > nowMs || fleetAvoids(instance, { row, nowMs });
  }

  /** Share of recent answers of a server that failed. */
  failureRate(instance: InstanceId, nowMs: number): number {
    const row = this.#rows.get(instance);
    if (row === undefined) return 0;
    fade(row, nowMs);
    return row.failureRate;
  }

  /** Forgets a server that is gone. */
  remove(instance: InstanceId): void {
    const row = this.#rows.get(instance);
    if (row !== undefined && row.inFlight === 0) this.#rows.delete(instance);
  }

  #eject(row: Row, nowMs: number): number {
    const ejectMs = Math.min(MAX_EJECT_MS, EJECT_MS * 2 ** row.ejections);
    row.ejections += 1;
    row.failuresInRow = 0;
    row.ejectedUntilMs = nowMs + ejectMs;
    return ejectMs;
  }

  #row(instance: InstanceId): Row {
    const known = this.#rows.get(instance);
    if (known !== undefined) return known;
    const row: Row = {
      inFlight: 0,
      work: 0,
      elsewhere: undefined,
      recent: new RecentAnswers(),
      failuresInRow: 0,
      failureRate: 0,
      rateAtMs: 0,
      ejectedUntilMs: 0,
      ejections: 0,
    };
    this.#rows.set(instance, row);
    return row;
  }
}

function reportOf(
  instance: InstanceId,
  { row, nowMs }: { row: Row; nowMs: number },
): ServerReport {
  const { answers, failures } = row.recent.counts(nowMs);
  const witnesses = failures >= WITNESS_FAILURES ? 1 : 0;
  return { instance, workMs: row.work, answers, failures, witnesses };
}

/** Whether the VMs together have seen enough failures of a server to avoid it. */
function fleetAvoids(
  instance: InstanceId,
  { row, nowMs }: { row: Row; nowMs: number },
): boolean {
  if (row.elsewhere === undefined) return false;
  const own = reportOf(instance, { row, nowMs });
  const { answers, failures, witnesses } = row.elsewhere;
  const allFailures = failures + own.failures;
  return witnesses + own.witnesses >= FLEET_WITNESSES &&
    allFailures >= FLEET_FAILURES &&
    allFailures >= FLEET_FAILURE_RATE * (answers + own.answers);
}

function fade(row: Row, nowMs: number): void {
  const ageMs = Math.max(0, nowMs - row.rateAtMs);
  row.failureRate *= 0.5 ** (ageMs / RATE_HALF_LIFE_MS);
  row.rateAtMs = nowMs;
}
