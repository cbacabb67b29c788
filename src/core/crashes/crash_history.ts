/**
 * Server crashes per request, as observed by this VM and reported by others. Reports are merged
 * as a set union, so duplicated, late or reordered reports converge to the same state.
 */

import type { AccountId, RequestKey, ServerIncarnation } from "../ids.ts";
import type { Crash } from "./crash.ts";
import {
  CRASH_LIMIT,
  findCrashingRequests,
  type Suspect,
} from "./crash_attribution.ts";

/** Retention of requests with at least `CRASH_LIMIT` crashes, since their last update. */
const RETENTION_MS = 3_600_000;
/** The same for requests with fewer crashes: most of them are bystanders. */
const BYSTANDER_RETENTION_MS = 600_000;
/** Maximum number of tracked requests; bounds memory to about 0.5 MB. */
const MAX_REQUESTS = 1_000;
/** Maximum number of crashes kept per request; more would not change the attribution. */
const MAX_CRASHES_PER_REQUEST = 64;
/**
 * How long a request that crashes servers is quarantined after its last crash. Then it may run
 * once: another crash quarantines it again, a successful run clears it.
 */
export const QUARANTINE_MS = 600_000;
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

/** Tracks requests under which servers ended, and which of them to quarantine. */
export class CrashHistory {
  readonly #records = new Map<RequestKey, CrashRecord>();
  #crashingRequests: ReadonlySet<RequestKey> = new Set();

  /** Whether no crash is recorded, so that lookups can be skipped. */
  get isEmpty(): boolean {
    return this.#records.size === 0;
  }

  /** Number of tracked requests. */
  get size(): number {
    return this.#records.size;
  }

  /** Requests that crash servers, whether or not they are quarantined now. */
  get crashingRequests(): ReadonlySet<RequestKey> {
    return this.#crashingRequests;
  }

  /** Records a server crash; returns whether it was not known before. */
  recordCrash(crash: Crash, nowMs: number): boolean {
    const record = this.#recordOf(crash, nowMs);
    const known = record.crashes.get(crash.life);
    if (known === undefined && crash.endedMs <= record.successMs) return false;
    const merged = known === undefined ? crash : mergeReports(known, crash);
    record.crashes.set(crash.life, merged);
    // A repeated report may still add to the known order of the crashes.
    if (known === undefined) this.#trimCrashes(record);
    if (known === undefined || merged.after.length > known.after.length) {
      this.#updateCrashingRequests();
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
    this.#updateCrashingRequests();
    return true;
  }

  /** Returns whether a request is quarantined now, and for how long. */
  quarantineStatus(request: RequestKey, nowMs: number): QuarantineStatus {
    if (!this.#crashingRequests.has(request)) return { tag: "free" };
    const crashes = this.crashesOf(request);
    const lastMs = Math.max(...crashes.map(({ endedMs }) => endedMs));
    const leftMs = lastMs + QUARANTINE_MS - nowMs;
    if (leftMs <= 0) return { tag: "free" };
    const learnedAtMs = this.#records.get(request)?.learnedAtMs ?? -Infinity;
    if (nowMs - learnedAtMs < SETTLE_DELAY_MS) return { tag: "settling" };
    return { tag: "quarantined", leftMs, crashes: crashes.length };
  }

  /** Crashes of a request since its last successful run. */
  crashesOf(request: RequestKey): readonly Crash[] {
    return [...this.#records.get(request)?.crashes.values() ?? []];
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

  /** Removes requests past their retention. */
  removeExpired(nowMs: number): void {
    const before = this.#records.size;
    for (const [request, { crashes, learnedAtMs }] of this.#records) {
      const keepMs = crashes.size < CRASH_LIMIT
        ? BYSTANDER_RETENTION_MS
        : RETENTION_MS;
      if (nowMs - learnedAtMs > keepMs) this.#records.delete(request);
    }
    if (this.#records.size < before) this.#updateCrashingRequests();
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

  #updateCrashingRequests(): void {
    const suspects: Suspect[] = [...this.#records.values()]
      .map(({ request, crashes }) => ({
        request,
        crashes: [...crashes.values()],
      }));
    const maxCrashes = Math.max(
      0,
      ...suspects.map(({ crashes }) => crashes.length),
    );
    this.#crashingRequests = maxCrashes < CRASH_LIMIT
      ? new Set()
      : findCrashingRequests(suspects);
  }
}

/** Merges two VMs' reports of one crash, each VM with its own copy of the request there. */
function mergeReports(a: Crash, b: Crash): Crash {
  return {
    ...a,
    after: [...new Set([...a.after, ...b.after])],
    beganMs: Math.max(a.beganMs, b.beganMs),
    endedMs: Math.min(a.endedMs, b.endedMs),
    serviceSize: Math.max(a.serviceSize, b.serviceSize),
  };
}
