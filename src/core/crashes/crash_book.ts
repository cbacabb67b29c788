/**
 * What a VM knows of servers that ended under requests, by itself and by others. All is kept as
 * a union: news that comes twice, late or in another order leads to the same.
 */

import type { AccountId, RequestKey, ServerIncarnation } from "../ids.ts";
import type { Crash } from "./crash.ts";
import { CRASH_LIMIT, findPoison, type Suspect } from "./crash_verdict.ts";

/** How long a server's end is remembered, in milliseconds. */
const KEEP_MS = 3_600_000;
/** The same for requests with fewer than `CRASH_LIMIT`: most were beside by chance. */
const KEEP_FEW_MS = 600_000;
/** Requests that are remembered, at most: some 0.5 MB. */
const MOST_REQUESTS = 1_000;
/** Ends that are kept of one request; more do not change a verdict. */
const MOST_CRASHES = 64;
/**
 * How long a request that crashes servers is kept from them after the last crash. It may run
 * once then, and is kept back again by the next crash, or is free by a good end.
 */
export const QUARANTINE_MS = 600_000;
/**
 * Time for news of other VMs to come before a verdict binds: a request that was beside looks
 * like the culprit until the culprit's own crash is known. VMs tell such news at once; this bears
 * a VM that is behind.
 */
const SETTLE_MS = 400;

/** How a request stands. */
export type Standing =
  | { readonly tag: "free" }
  /** Looks like one that crashes servers, by news that may be incomplete. */
  | { readonly tag: "settling" }
  | {
    readonly tag: "quarantined";
    /** Until it may run again, in milliseconds. */
    readonly leftMs: number;
    /** Servers that have ended under it. */
    readonly crashes: number;
  };

/** A good end of a request that was suspected before. */
export interface GoodEnd {
  readonly request: RequestKey;
  readonly atMs: number;
}

interface Row {
  readonly request: RequestKey;
  readonly account: AccountId | undefined;
  readonly crashes: Map<ServerIncarnation, Crash>;
  /** When the request last ended well; servers that ended before do not count. */
  goodMs: number;
  /** When this VM last learnt anything of it. */
  learntMs: number;
}

/** Requests under which servers have ended. */
export class CrashBook {
  readonly #rows = new Map<RequestKey, Row>();
  #poison: ReadonlySet<RequestKey> = new Set();

  /** Whether nothing is known, so that no request needs to be looked up. */
  get isEmpty(): boolean {
    return this.#rows.size === 0;
  }

  /** Number of requests under which servers have ended. */
  get size(): number {
    return this.#rows.size;
  }

  /** Requests that crash servers, whether or not they are kept from them now. */
  get poison(): ReadonlySet<RequestKey> {
    return this.#poison;
  }

  /** Takes in the end of a server; returns whether it is news. */
  note(crash: Crash, nowMs: number): boolean {
    const row = this.#row(crash, nowMs);
    const known = row.crashes.get(crash.life);
    if (known === undefined && crash.endedMs <= row.goodMs) return false;
    const merged = known === undefined ? crash : union(known, crash);
    row.crashes.set(crash.life, merged);
    // What is told again may still put servers in order that ended one after the other.
    if (known === undefined) this.#trim(row);
    if (known === undefined || merged.after.length > known.after.length) {
      this.#judge();
    }
    if (known !== undefined) return false;
    row.learntMs = nowMs;
    return true;
  }

  /** Takes in that a request has ended well; returns whether it was suspected. */
  noteGoodEnd({ request, atMs }: GoodEnd, nowMs: number): boolean {
    const row = this.#rows.get(request);
    if (row === undefined || atMs <= row.goodMs) return false;
    row.goodMs = atMs;
    const outlived = [...row.crashes.values()]
      .filter(({ endedMs }) => endedMs <= atMs);
    if (outlived.length === 0) return false;
    for (const { life } of outlived) row.crashes.delete(life);
    row.learntMs = nowMs;
    this.#judge();
    return true;
  }

  /** How a request stands now. */
  standing(request: RequestKey, nowMs: number): Standing {
    if (!this.#poison.has(request)) return { tag: "free" };
    const crashes = this.crashesOf(request);
    const lastMs = Math.max(...crashes.map(({ endedMs }) => endedMs));
    const leftMs = lastMs + QUARANTINE_MS - nowMs;
    if (leftMs <= 0) return { tag: "free" };
    const learntMs = this.#rows.get(request)?.learntMs ?? -Infinity;
    if (nowMs - learntMs < SETTLE_MS) return { tag: "settling" };
    return { tag: "quarantined", leftMs, crashes: crashes.length };
  }

  /** Servers that have ended under a request since it last ended well. */
  crashesOf(request: RequestKey): readonly Crash[] {
    return [...this.#rows.get(request)?.crashes.values() ?? []];
  }

  /** Ends of servers of which this VM has learnt since then. */
  crashesSince(sinceMs: number): Crash[] {
    return this.#learntSince(sinceMs).flatMap(({ crashes }) => [
      ...crashes.values(),
    ]);
  }

  /** Good ends of which this VM has learnt since then. */
  goodEndsSince(sinceMs: number): GoodEnd[] {
    return this.#learntSince(sinceMs)
      .filter(({ goodMs }) => Number.isFinite(goodMs))
      .map(({ request, goodMs }) => ({ request, atMs: goodMs }));
  }

  /** Forgets what is old. */
  expire(nowMs: number): void {
    const before = this.#rows.size;
    for (const [request, { crashes, learntMs }] of this.#rows) {
      const keepMs = crashes.size < CRASH_LIMIT ? KEEP_FEW_MS : KEEP_MS;
      if (nowMs - learntMs > keepMs) this.#rows.delete(request);
    }
    if (this.#rows.size < before) this.#judge();
  }

  #learntSince(sinceMs: number): Row[] {
    return [...this.#rows.values()].filter((row) => row.learntMs >= sinceMs);
  }

  #row({ request, account }: Crash, nowMs: number): Row {
    const known = this.#rows.get(request);
    if (known !== undefined) return known;
    if (this.#rows.size >= MOST_REQUESTS) this.#dropOne();
    const row: Row = {
      request,
      account,
      crashes: new Map(),
      goodMs: -Infinity,
      learntMs: nowMs,
    };
    this.#rows.set(request, row);
    return row;
  }

  /** Makes room at the cost of the account that takes most of it: its least suspected request. */
  #dropOne(): void {
    const counts = new Map<AccountId | undefined, number>();
    for (const { account } of this.#rows.values()) {
      counts.set(account, (counts.get(account) ?? 0) + 1);
    }
    const [largest] = [...counts].sort((a, b) => b[1] - a[1])[0] ?? [];
    const [least] = [...this.#rows.values()]
      .filter(({ account }) => account === largest)
      .sort((a, b) =>
        a.crashes.size - b.crashes.size || a.learntMs - b.learntMs
      );
    if (least !== undefined) this.#rows.delete(least.request);
  }

  #trim({ crashes }: Row): void {
    if (crashes.size <= MOST_CRASHES) return;
    const oldest = [...crashes.values()]
      .sort((a, b) => a.endedMs - b.endedMs)[0];
    if (oldest !== undefined) crashes.delete(oldest.life);
  }

  #judge(): void {
    const suspects: Suspect[] = [...this.#rows.values()]
      .map(({ request, crashes }) => ({
        request,
        crashes: [...crashes.values()],
      }));
    const mostCrashes = Math.max(
      0,
      ...suspects.map(({ crashes }) => crashes.length),
    );
    this.#poison = mostCrashes < CRASH_LIMIT ? new Set() : findPoison(suspects);
  }
}

/** One crash as two VMs saw it, each with a copy of the request there. */
function union(a: Crash, b: Crash): Crash {
  return {
    ...a,
    after: [...new Set([...a.after, ...b.after])],
    beganMs: Math.max(a.beganMs, b.beganMs),
    endedMs: Math.min(a.endedMs, b.endedMs),
    serviceSize: Math.max(a.serviceSize, b.serviceSize),
  };
}
