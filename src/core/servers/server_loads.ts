/** Load and recent health of backend servers, and their ejection after failures. */

import type { InstanceId } from "../ids.ts";
import { DecayingAnswerCounts } from "./decaying_answer_counts.ts";
import type { ServerReport } from "./server_report.ts";

/** Consecutive failures after which a server is ejected. */
const FAILURES_TO_EJECT = 3;
/** Failure rate of recent answers from which a server is ejected. */
const EJECT_FAILURE_RATE = 0.3;
/** Weight of the newest answer in the failure rate. */
const FAILURE_RATE_WEIGHT = 0.15;
/** Half-life of the failure rate, so that a server is tried again. */
const FAILURE_RATE_HALF_LIFE_MS = 1_000;
/** Duration of the first ejection, in milliseconds; it doubles with each further one. */
const EJECT_MS = 1_500;
/** Longest ejection, in milliseconds. */
const MAX_EJECT_MS = 6_000;

/** VMs that must have seen failures before all eject a server: a single VM may be partitioned. */
const FLEET_EJECT_WITNESSES = 2;
/** Recent failures at all VMs together that are required before all eject a server. */
const FLEET_EJECT_FAILURES = 2.5;
/** Failure rate at all VMs together from which all eject a server. */
const FLEET_EJECT_FAILURE_RATE = 0.3;
/** Recent failures from which a VM counts as a witness. */
const WITNESS_FAILURES = 0.5;
/** Recent answers up to which an idle server is left out of reports. */
const MIN_REPORTED_ANSWERS = 0.1;

interface ServerLoad {
  inFlight: number;
  /** Predicted work in flight, in milliseconds of server time. */
  work: number;
  /** Merged reports of all other VMs. */
  peerReport: ServerReport | undefined;
  readonly recent: DecayingAnswerCounts;
  consecutiveFailures: number;
  failureRate: number;
  /** When the failure rate was last updated. */
  rateAtMs: number;
  ejectedUntilMs: number;
  ejections: number;
}

/** Load and health of all servers, as seen by this VM and reported by others. */
export class ServerLoads {
  readonly #loads = new Map<InstanceId, ServerLoad>();

  /** Records that a request was sent. */
  begin(instance: InstanceId, work: number): void {
    const load = this.#loadOf(instance);
    load.inFlight += 1;
    load.work += work;
  }

  /** Records that a request has ended, with whatever outcome. */
  end(instance: InstanceId, work: number): void {
    const load = this.#loadOf(instance);
    load.inFlight = Math.max(0, load.inFlight - 1);
    load.work = Math.max(0, load.work - work);
  }

  /** Records that part of a request's work is done. */
  reduceWork(instance: InstanceId, work: number): void {
    const load = this.#loadOf(instance);
    load.work = Math.max(0, load.work - work);
  }

  /** Replaces the merged reports of all other VMs. */
  setPeerReports(reports: ReadonlyMap<InstanceId, ServerReport>): void {
    for (const load of this.#loads.values()) load.peerReport = undefined;
    for (const [instance, report] of reports) {
      this.#loadOf(instance).peerReport = report;
    }
  }

  /** Requests of this VM in flight at a server. */
  inFlight(instance: InstanceId): number {
    return this.#loads.get(instance)?.inFlight ?? 0;
  }

  /** Predicted work in flight at a server from all VMs, in milliseconds. */
  work(instance: InstanceId): number {
    const load = this.#loads.get(instance);
    if (load === undefined) return 0;
    return load.work + (load.peerReport?.workMs ?? 0);
  }

  /** Reports of this VM on servers with work in flight or recent answers. */
  localReports(nowMs: number): ServerReport[] {
    return [...this.#loads]
      .map(([instance, load]) => reportOf(instance, { load, nowMs }))
      .filter(({ workMs, answers }) =>
        workMs > 0 || answers > MIN_REPORTED_ANSWERS
      );
  }

  /** Records a successful answer. */
  recordSuccess(instance: InstanceId, nowMs: number): void {
    const load = this.#loadOf(instance);
    load.recent.record(false, nowMs);
    decayFailureRate(load, nowMs);
    load.consecutiveFailures = 0;
    load.failureRate *= 1 - FAILURE_RATE_WEIGHT;
    if (load.failureRate < EJECT_FAILURE_RATE / 4) load.ejections = 0;
  }

  /** Records a failure; returns for how many milliseconds the server is ejected, if this ejects it. */
  recordFailure(instance: InstanceId, nowMs: number): number | undefined {
    this.#loadOf(instance).recent.record(true, nowMs);
    return this.recordRejection(instance, nowMs);
  }

  /**
   * Records that a server rejected a request without running it, for example at capacity. This is
   * not reported to other VMs, which see the work in flight there. Returns as `recordFailure` does.
   */
  recordRejection(instance: InstanceId, nowMs: number): number | undefined {
    const load = this.#loadOf(instance);
    decayFailureRate(load, nowMs);
    load.consecutiveFailures += 1;
    load.failureRate += FAILURE_RATE_WEIGHT * (1 - load.failureRate);
    const isUnhealthy = load.consecutiveFailures >= FAILURES_TO_EJECT ||
      load.failureRate >= EJECT_FAILURE_RATE;
    if (!isUnhealthy || load.ejectedUntilMs > nowMs) return undefined;
    return this.#eject(load, nowMs);
  }

  /** Ejects a server immediately, as when it refuses connections; returns as `recordFailure` does. */
  recordUnreachable(instance: InstanceId, nowMs: number): number | undefined {
    const load = this.#loadOf(instance);
    load.recent.record(true, nowMs);
    if (load.ejectedUntilMs > nowMs) return undefined;
    return this.#eject(load, nowMs);
  }

  /**
   * Forgets failures of a server that lie with the links of this VM: the server counts as healthy
   * here, and other VMs are told of no failure.
   */
  forgetFailures(instance: InstanceId): void {
    const load = this.#loads.get(instance);
    if (load === undefined) return;
    load.recent.reset();
    load.consecutiveFailures = 0;
    load.failureRate = 0;
    load.ejectedUntilMs = 0;
    load.ejections = 0;
  }

  /** Whether a server is ejected now. */
  isEjected(instance: InstanceId, nowMs: number): boolean {
    const load = this.#loads.get(instance);
    if (load === undefined) return false;
    return load.ejectedUntilMs > nowMs ||
      isEjectedByFleet(instance, { load, nowMs });
  }

  /** Failure rate of the recent answers of a server, from 0 to 1. */
  failureRate(instance: InstanceId, nowMs: number): number {
    const load = this.#loads.get(instance);
    if (load === undefined) return 0;
    decayFailureRate(load, nowMs);
    return load.failureRate;
  }

  /** Removes a server that is no longer listed, unless requests are in flight there. */
  remove(instance: InstanceId): void {
    const load = this.#loads.get(instance);
    if (load !== undefined && load.inFlight === 0) this.#loads.delete(instance);
  }

  #eject(load: ServerLoad, nowMs: number): number {
    const ejectMs = Math.min(MAX_EJECT_MS, EJECT_MS * 2 ** load.ejections);
    load.ejections += 1;
    load.consecutiveFailures = 0;
    load.ejectedUntilMs = nowMs + ejectMs;
    return ejectMs;
  }

  #loadOf(instance: InstanceId): ServerLoad {
    const known = this.#loads.get(instance);
    if (known !== undefined) return known;
    const load: ServerLoad = {
      inFlight: 0,
      work: 0,
      peerReport: undefined,
      recent: new DecayingAnswerCounts(),
      consecutiveFailures: 0,
      failureRate: 0,
      rateAtMs: 0,
      ejectedUntilMs: 0,
      ejections: 0,
    };
    this.#loads.set(instance, load);
    return load;
  }
}

function reportOf(
  instance: InstanceId,
  { load, nowMs }: { load: ServerLoad; nowMs: number },
): ServerReport {
  const { answers, failures } = load.recent.counts(nowMs);
  const witnesses = failures >= WITNESS_FAILURES ? 1 : 0;
  return { instance, workMs: load.work, answers, failures, witnesses };
}

/** Whether the VMs together have seen enough failures of a server to eject it. */
function isEjectedByFleet(
  instance: InstanceId,
  { load, nowMs }: { load: ServerLoad; nowMs: number },
): boolean {
  if (load.peerReport === undefined) return false;
  const own = reportOf(instance, { load, nowMs });
  const { answers, failures, witnesses } = load.peerReport;
  const allFailures = failures + own.failures;
  return witnesses + own.witnesses >= FLEET_EJECT_WITNESSES &&
    allFailures >= FLEET_EJECT_FAILURES &&
    allFailures >= FLEET_EJECT_FAILURE_RATE * (answers + own.answers);
}

function decayFailureRate(load: ServerLoad, nowMs: number): void {
  const ageMs = Math.max(0, nowMs - load.rateAtMs);
  load.failureRate *= 0.5 ** (ageMs / FAILURE_RATE_HALF_LIFE_MS);
  load.rateAtMs = nowMs;
}
