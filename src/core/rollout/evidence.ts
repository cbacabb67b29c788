/** Failures and latencies of the answers of each release, on this VM and on others. */

import type {
  EntryId,
  ModelId,
  ReleaseId,
  RouteId,
  ServiceId,
} from "../ids.ts";

/** Answers of one release on one route, by one model. */
export interface Evidence {
  readonly service: ServiceId;
  readonly release: ReleaseId;
  readonly route: RouteId;
  /** Undefined if the model was not chosen by the router. */
  readonly model?: ModelId | undefined;
  readonly answers: number;
  /** Failed answers; included in `answers`. */
  readonly failures: number;
  /** Times to first byte; those of failures are left out, as errors are often fast. */
  readonly latencies: number;
  /** Sum of the natural logarithms of these times, in milliseconds. */
  readonly logMsSum: number;
  /** Sum of the squares of these logarithms. */
  readonly logMsSquares: number;
}

/** Evidence by route and model: only answers of the same route and model are comparable. */
export type EvidenceByKind = ReadonlyMap<string, Evidence>;

/** Release, route and model that an observation is attributed to. */
export type EvidenceOrigin = Pick<
  Evidence,
  "service" | "release" | "route" | "model"
>;

/** Outcome of one answer. */
export interface AnswerObservation extends EvidenceOrigin {
  readonly failed: boolean;
}

/** Time to first byte of one response. */
export interface LatencyObservation extends EvidenceOrigin {
  /** If no byte was received, how long it was waited for. */
  readonly firstByteMs: number;
}

/** What evidence covers: the sending VM, a relay and its followers, or the whole fleet. */
export type EvidenceScope = "own" | "group" | "fleet";

/** Evidence that another VM has sent. */
export interface ReceivedEvidence {
  /** Incarnation of the sending process. */
  readonly life: number;
  readonly scope: EvidenceScope;
  readonly evidence: readonly Evidence[];
}

interface PeerEvidence {
  readonly vm: EntryId;
  readonly report: ReceivedEvidence;
}

const NO_COUNTS = {
  answers: 0,
  failures: 0,
  latencies: 0,
  logMsSum: 0,
  logMsSquares: 0,
};

/** Aggregates the evidence of this VM and the latest that each other VM has sent. */
export class EvidenceAggregator {
  readonly #own = new Map<string, Evidence>();
  readonly #reports = new Map<string, PeerEvidence>();

  /** Counts an answer. */
  observe({ failed, ...origin }: AnswerObservation): void {
    this.#add({
      ...origin,
      ...NO_COUNTS,
      answers: 1,
      failures: failed ? 1 : 0,
    });
  }

  /** Counts a time to first byte, which is known before the answer has ended. */
  observeLatency({ firstByteMs, ...origin }: LatencyObservation): void {
    const logMs = Math.log(Math.max(1, firstByteMs));
    this.#add({
      ...origin,
      ...NO_COUNTS,
      latencies: 1,
      logMsSum: logMs,
      logMsSquares: logMs ** 2,
    });
  }

  #add(row: Evidence): void {
    const key = `${row.service}/${row.release}/${evidenceKey(row)}`;
    const known = this.#own.get(key);
    this.#own.set(key, known === undefined ? row : addCounts(known, row, 1));
  }

  /** Evidence of this VM on a service. */
  ownEvidence(service: ServiceId): Evidence[] {
    return [...this.#own.values()].filter((row) => row.service === service);
  }

  /** Stores evidence sent by another VM, replacing earlier evidence that it includes. */
  receive(vm: EntryId, report: ReceivedEvidence): void {
    if (report.evidence.length === 0 && this.#reports.size === 0) return;
    for (const [key, known] of this.#reports) {
      if (replaces({ vm, report }, known)) this.#reports.delete(key);
    }
    // Counts of earlier incarnations of a VM are kept: those answers were served too.
    const key = report.scope === "own" ? `${vm}/${report.life}` : vm;
    this.#reports.set(key, { vm, report });
  }

  /** Sums the evidence of this VM and of the given VMs. */
  groupEvidence(service: ServiceId, vms: ReadonlySet<EntryId>): Evidence[] {
    const reports = [...this.#reports.values()].filter(({ vm }) => vms.has(vm));
    return sumByRelease([
      ...this.ownEvidence(service),
      ...rowsOf(reports, service),
    ]);
  }

  /** Sums the evidence of all VMs except the given one. */
  allExcept(vm: EntryId, service: ServiceId): Evidence[] {
    const reports = [...this.#reports.values()].filter((row) => row.vm !== vm);
    return sumByRelease([
      ...this.ownEvidence(service),
      ...rowsOf(reports, service),
    ]);
  }

  /** Sums all evidence on one release by route and model. */
  total(service: ServiceId, release: ReleaseId): EvidenceByKind {
    const all = [
      ...this.ownEvidence(service),
      ...rowsOf([...this.#reports.values()], service),
    ];
    return sumByKind(all.filter((row) => row.release === release));
  }

  /** Removes what one VM has sent. */
  removeVm(vm: EntryId): void {
    for (const [key, row] of this.#reports) {
      if (row.vm === vm) this.#reports.delete(key);
    }
  }

  /** Removes the evidence on a service, so that a new roll-out starts from zero. */
  removeService(service: ServiceId): void {
    for (const [key, row] of this.#own) {
      if (row.service === service) this.#own.delete(key);
    }
    for (const [key, { vm, report }] of this.#reports) {
      const evidence = report.evidence.filter((row) => row.service !== service);
      this.#reports.set(key, { vm, report: { ...report, evidence } });
    }
  }
}

/** Whether newly received evidence already includes what was received before. */
function replaces(
  { vm, report }: PeerEvidence,
  known: PeerEvidence,
): boolean {
  if (report.scope === "fleet" || known.report.scope === "fleet") return true;
  return known.vm === vm &&
    (known.report.scope === "group" || report.scope === "group");
}

/** Returns the evidence added since `before`; a count that has decreased yields none. */
export function evidenceSince(
  before: EvidenceByKind,
  now: EvidenceByKind,
): EvidenceByKind {
  const since = new Map<string, Evidence>();
  for (const [kind, row] of now) {
    const known = before.get(kind);
    const added = known === undefined ? row : addCounts(row, known, -1);
    const answers = Math.max(0, added.answers);
    const failures = Math.min(answers, Math.max(0, added.failures));
    const latency = added.latencies > 0 ? added : NO_COUNTS;
    const { latencies, logMsSum, logMsSquares } = latency;
    if (answers === 0 && latencies === 0) continue;
    since.set(kind, {
      ...row,
      answers,
      failures,
      latencies,
      logMsSum,
      logMsSquares,
    });
  }
  return since;
}

/** Sums the answers over all routes and models. */
export function countAnswers(evidence: EvidenceByKind): number {
  return [...evidence.values()].reduce((sum, { answers }) => sum + answers, 0);
}

function rowsOf(
  reports: readonly PeerEvidence[],
  service: ServiceId,
): Evidence[] {
  return reports.flatMap((row) => row.report.evidence)
    .filter((row) => row.service === service);
}

function sumByRelease(rows: readonly Evidence[]): Evidence[] {
  const releases = new Set(rows.map(({ release }) => release));
  return [...releases].flatMap((release) => [
    ...sumByKind(rows.filter((row) => row.release === release)).values(),
  ]);
}

/** Adds `factor` times the counts of `other`. */
function addCounts(row: Evidence, other: Evidence, factor: 1 | -1): Evidence {
  return {
    ...row,
    answers: row.answers + factor * other.answers,
    failures: row.failures + factor * other.failures,
    latencies: row.latencies + factor * other.latencies,
    logMsSum: row.logMsSum + factor * other.logMsSum,
    logMsSquares: row.logMsSquares + factor * other.logMsSquares,
  };
}

function evidenceKey(
  { route, model }: Pick<Evidence, "route" | "model">,
): string {
  return `${route}/${model ?? ""}`;
}

function sumByKind(rows: readonly Evidence[]): EvidenceByKind {
  const sums = new Map<string, Evidence>();
  for (const row of rows) {
    const kind = evidenceKey(row);
    const known = sums.get(kind);
    sums.set(
      kind,
      known === undefined ? row : addCounts(row, known, 1),
    );
  }
  return sums;
}
