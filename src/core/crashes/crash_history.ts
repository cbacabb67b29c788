/**
 * Server crashes per request, as observed by this VM and reported by others. Reports are merged
 * as a set union, so duplicated, late or reordered reports converge to the same state.
 */

import type {
  AccountId,
  PartKey,
  RequestKey,
  ServerIncarnation,
} from "../ids.ts";
import {
  addsTo,
  boundReport,
  type Crash,
  mergeReports,
  type RequestSuspects,
} from "./crash.ts";
import { CRASH_LIMIT, findCulprits } from "./crash_attribution.ts";
import {
  buildHypotheses,
  groupByPart,
  type Hypothesis,
} from "./crash_hypotheses.ts";
import { type PartCompletion, PartCompletions } from "./part_completions.ts";
import { quarantineEndMs, TrialRights } from "./quarantine.ts";

/** Retention of requests that took part in the crashes of a culprit, since their last update. */
const RETENTION_MS = 21_600_000;
/** The same for other requests: most of them are bystanders. */
const BYSTANDER_RETENTION_MS = 600_000;
/** Maximum number of tracked requests; bounds memory to about 0.5 MB. */
const MAX_REQUESTS = 1_000;
/** Maximum number of crashes kept per request; more would not change the attribution. */
const MAX_CRASHES_PER_REQUEST = 64;
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

interface CrashRecord {
  readonly request: RequestKey;
  readonly account: AccountId | undefined;
  readonly crashes: Map<ServerIncarnation, Crash>;
  /** Time of the last successful run; earlier crashes do not count. */
  successMs: number;
  /** When this VM last received new information on the request. */
  learnedAtMs: number;
}

interface Findings {
  readonly culprits: readonly Hypothesis[];
  /** Crashes by each part of the requests that ran then. */
  readonly crashesByPart: ReadonlyMap<PartKey, readonly Crash[]>;
}

/** Tracks requests under which servers ended, and which requests to quarantine. */
export class CrashHistory {
  readonly #records = new Map<RequestKey, CrashRecord>();
  readonly #completions = new PartCompletions();
  readonly #trials = new TrialRights();
  /** Derived from the records; undefined after they have changed. */
  #findings: Findings | undefined;

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
    return this.#currentFindings.culprits;
  }

  /** Records a server crash; returns whether it was not known before. */
  recordCrash(crash: Crash, nowMs: number): boolean {
    const record = this.#recordOf(crash, nowMs);
    const known = record.crashes.get(crash.life);
    if (known === undefined && crash.endedMs <= record.successMs) return false;
    const merged = boundReport(
      known === undefined ? crash : mergeReports(known, crash),
    );
    record.crashes.set(crash.life, merged);
    // A repeated report may still add to the known order of the crashes.
    if (known === undefined) this.#trimCrashes(record);
    if (known === undefined || addsTo(known, merged)) {
      this.#findings = undefined;
    }
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
      .filter(({ endedMs }) => endedMs <= atMs);
    if (cleared.length === 0) return false;
    for (const { life } of cleared) record.crashes.delete(life);
    record.learnedAtMs = nowMs;
    this.#findings = undefined;
    return true;
  }

  /** Records the completion of a request with a part; returns whether that cleared the part. */
  recordCompletion(completion: PartCompletion, nowMs: number): boolean {
    const { part } = completion;
    if (!this.#currentFindings.crashesByPart.has(part)) return false;
    const suspected = this.#suspectedCrashes(part);
    if (!this.#completions.record(completion, nowMs)) return false;
    if (this.#suspectedCrashes(part).length === suspected.length) return false;
    this.#findings = undefined;
    return true;
  }

  /** Returns whether a request is quarantined now, and for how long. */
  quarantineStatus(
    { request, parts }: RequestSuspects,
    nowMs: number,
  ): QuarantineStatus {
    if (this.culprits.length === 0) return { tag: "free" };
    const own = new Set<string>([request, ...parts]);
    const matching = this.culprits.filter(({ keys }) =>
      [...keys].every((key) => own.has(key))
    );
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
  crashesOf(request: RequestKey): readonly Crash[] {
    return [...this.#records.get(request)?.crashes.values() ?? []];
  }

  /** Known crashes of servers under a request or its parts, the latest last. */
  crashesUnder({ request, parts }: RequestSuspects): readonly Crash[] {
    return [
      ...this.crashesOf(request),
      ...parts.flatMap((part) => this.#suspectedCrashes(part)),
    ].sort((a, b) => a.endedMs - b.endedMs);
  }

  /** Crashes of all requests that this VM has new information on since `sinceMs`. */
  crashesSince(sinceMs: number): Crash[] {
    return this.#updatedSince(sinceMs).flatMap(({ crashes }) => [
      ...crashes.values(),
    ]);
  }

  /** Successful runs of requests that this VM has new information on since `sinceMs`. */
  successesSince(sinceMs: number): RequestSuccess[] {
    return this.#updatedSince(sinceMs)
      .filter(({ successMs }) => Number.isFinite(successMs))
      .map(({ request, successMs }) => ({ request, atMs: successMs }));
  }

  /** Completions of requests with suspected parts that this VM has learnt of since `sinceMs`. */
  completionsSince(sinceMs: number): PartCompletion[] {
    return this.#completions.since(sinceMs);
  }

  /** Removes requests past their retention. */
  removeExpired(nowMs: number): void {
    const before = this.#records.size;
    const guilty = new Set(
      this.culprits.flatMap(({ crashes }) => crashes.map(({ life }) => life)),
    );
    for (const [request, { crashes, learnedAtMs }] of this.#records) {
      const isGuilty = [...crashes.keys()].some((life) => guilty.has(life));
      const keepMs = isGuilty ? RETENTION_MS : BYSTANDER_RETENTION_MS;
      if (nowMs - learnedAtMs > keepMs) this.#records.delete(request);
    }
    if (this.#records.size === before) return;
    this.#findings = undefined;
    const { crashesByPart } = this.#currentFindings;
    this.#completions.keepOnly(new Set(crashesByPart.keys()));
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

  /** Crashes that a part may have caused, as no completion clears it of them. */
  #suspectedCrashes(part: PartKey): Crash[] {
    return (this.#currentFindings.crashesByPart.get(part) ?? []).filter((
      { endedMs },
    ) => !this.#completions.isCleared(part, endedMs));
  }

  #updatedSince(sinceMs: number): CrashRecord[] {
    return [...this.#records.values()].filter((record) =>
      record.learnedAtMs >= sinceMs
    );
  }

  #recordOf({ request, account }: Crash, nowMs: number): CrashRecord {
    const known = this.#records.get(request);
    if (known !== undefined) return known;
    if (this.#records.size >= MAX_REQUESTS) this.#evictOne();
    const record: CrashRecord = {
      request,
      account,
      crashes: new Map(),
      successMs: -Infinity,
      learnedAtMs: nowMs,
    };
    this.#records.set(request, record);
    return record;
  }

  /** Evicts the least suspicious request of the account with the most tracked requests. */
  #evictOne(): void {
    const counts = new Map<AccountId | undefined, number>();
    for (const { account } of this.#records.values()) {
      counts.set(account, (counts.get(account) ?? 0) + 1);
    }
    const [largest] = [...counts].sort((a, b) => b[1] - a[1])[0] ?? [];
    const [least] = [...this.#records.values()]
      .filter(({ account }) => account === largest)
      .sort((a, b) =>
        a.crashes.size - b.crashes.size || a.learnedAtMs - b.learnedAtMs
      );
    if (least !== undefined) this.#records.delete(least.request);
  }

  #trimCrashes({ crashes }: CrashRecord): void {
    if (crashes.size <= MAX_CRASHES_PER_REQUEST) return;
    const oldest = [...crashes.values()]
      .sort((a, b) => a.endedMs - b.endedMs)[0];
    if (oldest !== undefined) crashes.delete(oldest.life);
  }

  get #currentFindings(): Findings {
    this.#findings ??= this.#find();
    return this.#findings;
  }

  #find(): Findings {
    const reports = [...this.#records.values()].flatMap(({ crashes }) => [
      ...crashes.values(),
    ]);
    const lives = new Set(reports.map(({ life }) => life));
    const isCleared = (part: PartKey, { endedMs }: Crash) =>
      this.#completions.isCleared(part, endedMs);
    const culprits = lives.size < CRASH_LIMIT
      ? []
      : findCulprits(buildHypotheses(reports, isCleared));
    return { culprits, crashesByPart: groupByPart(reports) };
  }
}
