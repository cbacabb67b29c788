/** The requests under which servers crashed, the least suspected of which are evicted. */

import type {
  AccountId,
  PartKey,
  RequestKey,
  ServerIncarnation,
} from "../ids.ts";
import type { ServerCrash } from "./crash.ts";
import type { CrashReport } from "./crash_report.ts";
import { countCrashes, type SuspectedParts } from "./suspected_parts.ts";

/** Maximum number of tracked requests; bounds memory to about 0.5 MB, without their parts. */
const MAX_REQUESTS = 1_000;
/** Requests evicted together, so that the least suspected ones are not looked for each time. */
const EVICTED_REQUESTS = 100;
/** Maximum number of crashes kept per request; more would not change the attribution. */
const MAX_CRASHES_PER_REQUEST = 64;

/** One request and the servers that crashed under it. */
export interface CrashRecord {
  readonly request: RequestKey;
  readonly account: AccountId | undefined;
  readonly crashes: Map<ServerIncarnation, CrashReport>;
  /** Time of the last successful run; earlier crashes do not count. */
  successMs: number;
  /** When this VM last received new information on the request. */
  learnedAtMs: number;
}

/** Keeps a limited number of requests. */
export class CrashRecords {
  readonly #suspectedParts: SuspectedParts;
  readonly #byRequest = new Map<RequestKey, CrashRecord>();

  constructor(suspectedParts: SuspectedParts) {
    this.#suspectedParts = suspectedParts;
  }

  /** Number of requests. */
  get size(): number {
    return this.#byRequest.size;
  }

  /** Returns the record of a request, if there is one. */
  get(request: RequestKey): CrashRecord | undefined {
    return this.#byRequest.get(request);
  }

  /** Returns all records. */
  all(): CrashRecord[] {
    return [...this.#byRequest.values()];
  }

  /** Returns the records with new information since `sinceMs`. */
  updatedSince(sinceMs: number): CrashRecord[] {
    return this.all().filter(({ learnedAtMs }) => learnedAtMs >= sinceMs);
  }

  /** Returns the record of a request; if it is new, others may be evicted. */
  getOrAdd({ request, account }: ServerCrash, nowMs: number): CrashRecord {
    const known = this.#byRequest.get(request);
    if (known !== undefined) return known;
    if (this.#byRequest.size >= MAX_REQUESTS) this.#evictLeastSuspected();
    const record: CrashRecord = {
      request,
      account,
      crashes: new Map(),
      successMs: -Infinity,
      learnedAtMs: nowMs,
    };
    this.#byRequest.set(request, record);
    return record;
  }

  /** Removes the oldest report of a request that has too many. */
  trim(record: CrashRecord): void {
    const { crashes } = record;
    if (crashes.size <= MAX_CRASHES_PER_REQUEST) return;
    const oldest = [...crashes.values()]
      .sort((a, b) => a.crash.endedMs - b.crash.endedMs)[0];
    if (oldest !== undefined) this.removeReport(record, oldest);
  }

  /** Removes a report of a request. */
  removeReport(record: CrashRecord, report: CrashReport): void {
    record.crashes.delete(report.crash.life);
    this.#suspectedParts.removeReport(report);
  }

  /** Removes a request with all of its reports. */
  remove(record: CrashRecord): void {
    for (const report of record.crashes.values()) {
      this.removeReport(record, report);
    }
    this.#byRequest.delete(record.request);
  }

  /**
   * Evicts requests of the account with the most tracked ones: those under which, or under whose
   * parts, the fewest servers crashed. They were bystanders most likely.
   */
  #evictLeastSuspected(): void {
    const counts = new Map<AccountId | undefined, number>();
    for (const { account } of this.#byRequest.values()) {
      counts.set(account, (counts.get(account) ?? 0) + 1);
    }
    const [largest] = [...counts].sort((a, b) => b[1] - a[1])[0] ?? [];
    const crashesByPart = new Map<PartKey, number>();
    const evicted = this.all()
      .filter(({ account }) => account === largest)
      .map((record) => ({
        record,
        crashes: this.#countCrashes(record, crashesByPart),
      }))
      .sort((a, b) =>
        a.crashes - b.crashes || a.record.learnedAtMs - b.record.learnedAtMs
      )
      .slice(0, EVICTED_REQUESTS);
    for (const { record } of evicted) this.remove(record);
  }

  /** Number of servers that crashed under a request, or under the part of it with the most. */
  #countCrashes(
    { crashes }: CrashRecord,
    crashesByPart: Map<PartKey, number>,
  ): number {
    let most = crashes.size;
    for (const { parts } of crashes.values()) {
      for (const part of parts) {
        const count = crashesByPart.get(part) ??
          countCrashes(this.#suspectedParts.reportsOf(part));
        crashesByPart.set(part, count);
        most = Math.max(most, count);
      }
    }
    return most;
  }
}
