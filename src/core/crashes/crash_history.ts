/**
 * Server crashes per request, as observed by this VM and reported by others. Reports are merged
 * as a set union, so duplicated, late or reordered reports converge to the same state.
 */

import type { PartKey, RequestKey } from "../ids.ts";
import {
  type Crash,
  CRASH_LIMIT,
  type RequestSuspects,
  type ServerCrash,
  type SuspectKey,
} from "./crash.ts";
import { findCulprits } from "./crash_attribution.ts";
import {
  buildHypotheses,
  type Hypothesis,
  isSubset,
} from "./crash_hypotheses.ts";
import { CrashRecords } from "./crash_records.ts";
import { CrashReport } from "./crash_report.ts";
import { type PartCompletion, PartCompletions } from "./part_completions.ts";
import { quarantineEndMs, TrialRights } from "./quarantine.ts";
import { SuspectedParts } from "./suspected_parts.ts";

/** Retention of requests that took part in the crashes of a culprit, since their last update. */
const RETENTION_MS = 21_600_000;
/** The same for other requests: most of them are bystanders. */
const BYSTANDER_RETENTION_MS = 600_000;
/**
 * Time to wait for reports of other VMs before a request is quarantined: a bystander looks like
 * the culprit until the culprit's own crash is known. VMs send such reports immediately; the delay
 * tolerates a VM that lags behind.
 */
const SETTLE_DELAY_MS = 400;

/** Whether a request may be sent to servers. */
export type QuarantineStatus =
  | { readonly tag: "free" }
  /** Attributed crashes, but reports of other VMs may still be missing. */
  | { readonly tag: "settling" }
  | {
    readonly tag: "quarantined";
    /** Time until it may run again, in milliseconds. */
    readonly leftMs: number;
    /** Number of servers that ended under it. */
    readonly crashes: number;
    /** Prompt parts that caused the crashes; empty if the request itself did. */
    readonly parts: readonly PartKey[];
  }
  /** The quarantine is over, and one VM may try whether the request still crashes servers. */
  | {
    readonly tag: "trial_due";
    readonly culprit: Hypothesis;
    readonly dueMs: number;
  };

/** A successful run of a request under which servers had ended before. */
export interface RequestSuccess {
  readonly request: RequestKey;
  readonly atMs: number;
}

/** Tracks requests under which servers ended, and which requests to quarantine. */
export class CrashHistory {
  readonly #suspectedParts = new SuspectedParts();
  readonly #records = new CrashRecords(this.#suspectedParts);
  readonly #completions = new PartCompletions();
  readonly #trials = new TrialRights();
  /** Derived from the records when asked for; undefined after they have changed. */
  #culprits: readonly Hypothesis[] | undefined;

  /** Whether no crash is recorded, so that lookups can be skipped. */
  get isEmpty(): boolean {
    return this.#records.size === 0;
  }

  /** Number of tracked requests. */
  get size(): number {
    return this.#records.size;
  }

  /** What crashes servers, whether or not it is quarantined now. */
  get culprits(): readonly Hypothesis[] {
    this.#culprits ??= this.#findCulprits();
    return this.#culprits;
  }

  /** Records a server crash; returns whether it was not known before. */
  recordCrash({ parts, ...crash }: Crash, nowMs: number): boolean {
    const record = this.#records.getOrAdd(crash, nowMs);
    const known = record.crashes.get(crash.life);
    if (known === undefined && crash.endedMs <= record.successMs) return false;
    const report = known ?? new CrashReport(crash);
    record.crashes.set(crash.life, report);
    // A repeated report may still add to the known order of the crashes.
    const addsToOrder = known?.merge(crash) ?? true;
    const addsParts = this.#addParts(parts, { report, nowMs });
    if (known === undefined) this.#records.trim(record);
    if (addsToOrder || addsParts) this.#culprits = undefined;
    if (known !== undefined) return false;
    record.learnedAtMs = nowMs;
    return true;
  }

  /** Records a successful run; returns whether it cleared any crash of the request. */
  recordSuccess({ request, atMs }: RequestSuccess, nowMs: number): boolean {
    const record = this.#records.get(request);
    if (record === undefined || atMs <= record.successMs) return false;
    record.successMs = atMs;
    const cleared = [...record.crashes.values()]
      .filter(({ crash }) => crash.endedMs <= atMs);
    if (cleared.length === 0) return false;
    for (const report of cleared) this.#records.removeReport(record, report);
    record.learnedAtMs = nowMs;
    this.#culprits = undefined;
    return true;
  }

  /** Records the completion of a request with a part; returns whether that cleared the part. */
  recordCompletion(completion: PartCompletion, nowMs: number): boolean {
    const { part } = completion;
    const isSuspected = this.#suspectedParts.has(part);
    if (!isSuspected && !this.#completions.has(part)) return false;
    if (!this.#completions.record(completion)) return false;
    const cleared = [...this.#suspectedParts.reportsOf(part)].filter((
      { crash },
    ) => this.#completions.isCleared(part, crash.endedMs));
    if (cleared.length === 0) return false;
    for (const report of cleared) this.#suspectedParts.clear(part, report);
    this.#completions.markCleared(part, nowMs);
    this.#culprits = undefined;
    return true;
  }

  /** Returns whether a request is quarantined now, and for how long. */
  quarantineStatus(
    { request, parts }: RequestSuspects,
    nowMs: number,
  ): QuarantineStatus {
    if (this.culprits.length === 0) return { tag: "free" };
    const own = new Set<SuspectKey>([request, ...parts]);
    const matching = this.culprits.filter(({ keys }) => isSubset(keys, own));
    const statuses = matching.map((one) => this.#statusOf(one, nowMs));
    return statuses.find(({ tag }) => tag === "quarantined") ??
      statuses.find(({ tag }) => tag === "settling") ??
      statuses[0] ?? { tag: "free" };
  }

  /** Records that this VM lets a request through to try whether it still crashes servers. */
  startTrial(culprit: Hypothesis, nowMs: number): void {
    this.#trials.start(culprit, nowMs);
  }

  /** Known crashes of servers under a request since its last successful run. */
  crashesOf(request: RequestKey): readonly ServerCrash[] {
    return this.#reportsOf(request).map(({ crash }) => crash);
  }

  /** Known crashes of servers under a request or its parts, the latest last. */
  crashesUnder({ request, parts }: RequestSuspects): readonly ServerCrash[] {
    const reports = new Set(this.#reportsOf(request));
    for (const part of parts) {
      for (const report of this.#suspectedParts.reportsOf(part)) {
        reports.add(report);
      }
    }
    return [...reports].map(({ crash }) => crash)
      .sort((a, b) => a.endedMs - b.endedMs);
  }

  /** Crashes of all requests that this VM has new information on since `sinceMs`. */
  crashesSince(sinceMs: number): Crash[] {
    return this.#records.updatedSince(sinceMs).flatMap(({ crashes }) =>
      [...crashes.values()].map((report) => report.toCrash())
    );
  }

  /** Successful runs of requests that this VM has new information on since `sinceMs`. */
  successesSince(sinceMs: number): RequestSuccess[] {
    return this.#records.updatedSince(sinceMs)
      .filter(({ successMs }) => Number.isFinite(successMs))
      .map(({ request, successMs }) => ({ request, atMs: successMs }));
  }

  /** Completions of requests with suspected parts that this VM has learnt of since `sinceMs`. */
  completionsSince(sinceMs: number): PartCompletion[] {
    return this.#completions.since(sinceMs);
  }

  /** Removes requests past their retention. */
  removeExpired(nowMs: number): void {
    this.#completions.removeExpired(nowMs);
    const guilty = new Set(
      this.culprits.flatMap(({ crashes }) => crashes.map(({ life }) => life)),
    );
    for (const record of this.#records.all()) {
      const { crashes, learnedAtMs } = record;
      const isGuilty = [...crashes.keys()].some((life) => guilty.has(life));
      const keepMs = isGuilty ? RETENTION_MS : BYSTANDER_RETENTION_MS;
      if (nowMs - learnedAtMs <= keepMs) continue;
      this.#records.remove(record);
      this.#culprits = undefined;
    }
  }

  #statusOf(culprit: Hypothesis, nowMs: number): QuarantineStatus {
    const { crashes, keys, isParts } = culprit;
    const learnedAtMs = Math.max(
      ...crashes.map(({ request }) =>
        this.#records.get(request)?.learnedAtMs ?? -Infinity
      ),
    );
    const endMs = Math.max(
      quarantineEndMs(culprit),
      this.#trials.nextMs(culprit),
    );
    if (endMs <= nowMs) return { tag: "trial_due", culprit, dueMs: endMs };
    if (nowMs - learnedAtMs < SETTLE_DELAY_MS) return { tag: "settling" };
    const parts = isParts ? [...keys] as PartKey[] : [];
    const leftMs = endMs - nowMs;
    return { tag: "quarantined", leftMs, crashes: crashes.length, parts };
  }

  /** Adds suspected parts to a report; returns whether any is new there. */
  #addParts(
    parts: readonly PartKey[],
    { report, nowMs }: { report: CrashReport; nowMs: number },
  ): boolean {
    let isAnyNew = false;
    for (const part of parts) {
      if (this.#completions.isCleared(part, report.crash.endedMs)) {
        this.#completions.markCleared(part, nowMs);
      } else if (this.#suspectedParts.add(part, report)) isAnyNew = true;
    }
    if (isAnyNew) this.#suspectedParts.trim();
    return isAnyNew;
  }

  #reportsOf(request: RequestKey): readonly CrashReport[] {
    return [...this.#records.get(request)?.crashes.values() ?? []];
  }

  #findCulprits(): readonly Hypothesis[] {
    const reports = this.#records.all().flatMap(({ crashes }) => [
      ...crashes.values(),
    ]);
    const lives = new Set(reports.map(({ crash }) => crash.life));
    return lives.size < CRASH_LIMIT
      ? []
      : findCulprits(buildHypotheses(reports));
  }
}
