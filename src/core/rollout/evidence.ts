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
  /** Sum of the natural logarithms of the times to the first byte, in milliseconds. */
  readonly logMsSum: number;
}

/** Evidence by route and model: only answers of the same route and model are comparable. */
export type EvidenceByKind = ReadonlyMap<string, Evidence>;

/** Outcome of one answer. */
export interface AnswerObservation {
  readonly service: ServiceId;
  readonly release: ReleaseId;
  readonly route: RouteId;
  readonly model?: ModelId | undefined;
  readonly failed: boolean;
  /** Time to the first byte; undefined if none was received. */
  readonly firstByteMs: number | undefined;
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

/** Aggregates the evidence of this VM and the latest that each other VM has sent. */
export class EvidenceAggregator {
  readonly #own = new Map<string, Evidence>();
  readonly #reports = new Map<string, PeerEvidence>();

  /** Counts an answer. */
  observe(observation: AnswerObservation): void {
    const { failed, firstByteMs, ...origin } = observation;
    const key = `${origin.service}/${origin.release}/${evidenceKey(origin)}`;
    const known = this.#own.get(key) ??
      { ...origin, answers: 0, failures: 0, logMsSum: 0 };
    this.#own.set(key, {
      ...known,
      answers: known.answers + 1,
      failures: known.failures + (failed ? 1 : 0),
      logMsSum: known.logMsSum + Math.log(Math.max(1, firstByteMs ?? 1)),
    });
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
    const answers = row.answers - (known?.answers ?? 0);
    if (answers <= 0) continue;
    const failures = row.failures - (known?.failures ?? 0);
    since.set(kind, {
      ...row,
      answers,
      failures: Math.min(answers, Math.max(0, failures)),
      logMsSum: row.logMsSum - (known?.logMsSum ?? 0),
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
      known === undefined ? row : {
        ...row,
        answers: known.answers + row.answers,
        failures: known.failures + row.failures,
        logMsSum: known.logMsSum + row.logMsSum,
      },
    );
  }
  return sums;
}
