/** Counts how the answers of each release do, here and at other VMs. */

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
  /** Undefined where the system did not choose the model. */
  readonly model?: ModelId | undefined;
  readonly answers: number;
  /** Answers that failed; they count among the answers as well. */
  readonly failures: number;
  /** Sum of the natural logarithms of the times to the first byte, in milliseconds. */
  readonly logMsSum: number;
}

/** Evidence by route and model, whose answers are alike enough to compare. */
export type EvidenceByKind = ReadonlyMap<string, Evidence>;

/** One answer, as evidence. */
export interface Observation {
  readonly service: ServiceId;
  readonly release: ReleaseId;
  readonly route: RouteId;
  readonly model?: ModelId | undefined;
  readonly failed: boolean;
  /** Time to the first byte; undefined where none came. */
  readonly firstByteMs: number | undefined;
}

/** Whose evidence is told: a VM's own, a relay's and its followers', or the fleet's. */
export type EvidenceScope = "own" | "group" | "fleet";

/** Evidence that another VM has told. */
export interface ToldEvidence {
  /** Life of the process that tells. */
  readonly life: number;
  readonly scope: EvidenceScope;
  readonly evidence: readonly Evidence[];
}

interface Told {
  readonly vm: EntryId;
  readonly told: ToldEvidence;
}

/** Evidence of this VM and the last that each other VM told. */
export class EvidenceBook {
  readonly #own = new Map<string, Evidence>();
  readonly #told = new Map<string, Told>();

  /** Counts an answer. */
  observe(observation: Observation): void {
    const { failed, firstByteMs, ...about } = observation;
    const key = `${about.service}/${about.release}/${kindOfEvidence(about)}`;
    const known = this.#own.get(key) ??
      { ...about, answers: 0, failures: 0, logMsSum: 0 };
    this.#own.set(key, {
      ...known,
      answers: known.answers + 1,
      failures: known.failures + (failed ? 1 : 0),
      logMsSum: known.logMsSum + Math.log(Math.max(1, firstByteMs ?? 1)),
    });
  }

  /** Evidence of this VM about a service. */
  own(service: ServiceId): Evidence[] {
    return [...this.#own.values()].filter((row) => row.service === service);
  }

  /** Takes in what another VM has counted. */
  hear(vm: EntryId, told: ToldEvidence): void {
    if (told.evidence.length === 0 && this.#told.size === 0) return;
    for (const [key, known] of this.#told) {
      if (replaces({ vm, told }, known)) this.#told.delete(key);
    }
    // Counts of a VM's earlier life stay: those answers were given as well.
    const key = told.scope === "own" ? `${vm}/${told.life}` : vm;
    this.#told.set(key, { vm, told });
  }

  /** Evidence of this VM, and what some others have told of themselves, added up. */
  group(service: ServiceId, vms: ReadonlySet<EntryId>): Evidence[] {
    const told = [...this.#told.values()].filter(({ vm }) => vms.has(vm));
    return sumByRelease([...this.own(service), ...rowsOf(told, service)]);
  }

  /** Evidence of all but one VM that asks, added up. */
  allBut(vm: EntryId, service: ServiceId): Evidence[] {
    const told = [...this.#told.values()].filter((row) => row.vm !== vm);
    return sumByRelease([...this.own(service), ...rowsOf(told, service)]);
  }

  /** All evidence about one release, added up by route and model. */
  total(service: ServiceId, release: ReleaseId): EvidenceByKind {
    const all = [
      ...this.own(service),
      ...rowsOf([...this.#told.values()], service),
    ];
    return sumByKind(all.filter((row) => row.release === release));
  }

  /** Forgets what one VM has told. */
  forgetVm(vm: EntryId): void {
    for (const [key, row] of this.#told) {
      if (row.vm === vm) this.#told.delete(key);
    }
  }

  /** Forgets what was counted of a service, once its roll-out is over. */
  forget(service: ServiceId): void {
    for (const [key, row] of this.#own) {
      if (row.service === service) this.#own.delete(key);
    }
    for (const [key, { vm, told }] of this.#told) {
      const evidence = told.evidence.filter((row) => row.service !== service);
      this.#told.set(key, { vm, told: { ...told, evidence } });
    }
  }
}

/** Whether what is told now already contains what was told before. */
function replaces({ vm, told }: Told, known: Told): boolean {
  if (told.scope === "fleet" || known.told.scope === "fleet") return true;
  return known.vm === vm &&
    (known.told.scope === "group" || told.scope === "group");
}

/** What was counted after `before`; counts that have shrunk since are taken as none. */
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

/** Adds up the answers of all kinds. */
export function countAnswers(evidence: EvidenceByKind): number {
  return [...evidence.values()].reduce((sum, { answers }) => sum + answers, 0);
}

function rowsOf(told: readonly Told[], service: ServiceId): Evidence[] {
  return told.flatMap((row) => row.told.evidence)
    .filter((row) => row.service === service);
}

function sumByRelease(rows: readonly Evidence[]): Evidence[] {
  const releases = new Set(rows.map(({ release }) => release));
  return [...releases].flatMap((release) => [
    ...sumByKind(rows.filter((row) => row.release === release)).values(),
  ]);
}

function kindOfEvidence(
  { route, model }: Pick<Evidence, "route" | "model">,
): string {
  return `${route}/${model ?? ""}`;
}

function sumByKind(rows: readonly Evidence[]): EvidenceByKind {
  const sums = new Map<string, Evidence>();
  for (const row of rows) {
    const kind = kindOfEvidence(row);
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
