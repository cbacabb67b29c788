/** What VMs tell each other of requests under which servers have ended. */

import type { Crash } from "../core/crashes/crash.ts";
import type { CrashHistory } from "../core/crashes/crash_history.ts";
import type { EntryId, RequestKey } from "../core/ids.ts";
import type { VmDigest } from "../protocol/digest_schema.ts";
import { advertisedAgeMs } from "../protocol/store_schema.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";

/**
 * News is told for at least this long after it was learnt, in milliseconds: two VMs of a mesh
 * ask each other every 1.2 s, a VM its relay every 0.8 s, so that one question may be lost.
 */
const TELL_MS = 3_000;
/** Servers that have ended under a request, from which on its news is told at once. */
const URGENT_CRASHES = 2;
/** Ends of servers in one message, at most; the rest comes with later ones. */
const MOST_TOLD = 1_000;

/** Part of a digest that tells of crashes. */
export type ToldCrashes = VmDigest["crashes"];

interface Deps {
  readonly crashHistory: CrashHistory;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Whom news is told. */
interface Listener {
  /** Life of the process that hears. */
  readonly life: number;
  /** When it was last told all that there was to tell. */
  readonly toldMs: number;
}

/** Where news comes from, for the log. */
type Source = "own" | "store" | EntryId;

/** Takes in news of crashes, tells it on, and logs what follows from it. */
export class CrashNews {
  readonly #deps: Deps;
  readonly #listeners = new Map<EntryId, Listener>();
  #onUrgent: (here: boolean) => void = () => {};

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /**
   * Sets what is called for news that other VMs need at once; `here` tells that this VM is the
   * first to know it.
   */
  onUrgent(listener: (here: boolean) => void): void {
    this.#onUrgent = listener;
  }

  /** Takes in what this VM has seen itself. */
  seen(crash: Crash): void {
    this.#take([crash], "own");
  }

  /** Takes in what was kept in the store. */
  read(crashes: readonly Crash[]): void {
    this.#take(crashes, "store");
  }

  /** Takes in what another VM has told. */
  hear({ ends, goodEnds }: ToldCrashes, from: EntryId): void {
    if (ends.length + goodEnds.length === 0) return;
    const { crashHistory, clock } = this.#deps;
    const nowMs = clock.monotonicMs();
    for (const { request, ageMs } of goodEnds) {
      crashHistory.recordSuccess({ request, atMs: nowMs - ageMs }, nowMs);
    }
    const crashes = ends.map(({ beganAgeMs, endedAgeMs, ...crash }) => ({
      ...crash,
      account: crash.account,
      beganMs: nowMs - beganAgeMs,
      endedMs: nowMs - endedAgeMs,
    }));
    this.#take(crashes, from);
  }

  /** What VMs are told without being asked: what is new. */
  news(): ToldCrashes {
    return this.#since(this.#deps.clock.monotonicMs() - TELL_MS);
  }

  /** What a VM is told that asks: all that it may not have heard yet from this one. */
  newsFor(vm: EntryId, life: number): ToldCrashes {
    const nowMs = this.#deps.clock.monotonicMs();
    const last = this.#listeners.get(vm);
    this.#listeners.set(vm, { life, toldMs: nowMs });
    // Its last answer may have been lost, as may be what it was told before it froze.
    return last?.life === life
      ? this.#since(last.toldMs - TELL_MS)
      : this.#since(-Infinity);
  }

  /** Forgets what is old. */
  expire(): void {
    this.#deps.crashHistory.removeExpired(this.#deps.clock.monotonicMs());
  }

  #since(sinceMs: number): ToldCrashes {
    const { crashHistory, clock } = this.#deps;
    if (crashHistory.isEmpty) return { ends: [], goodEnds: [] };
    const nowMs = clock.monotonicMs();
    const ends = crashHistory.crashesSince(sinceMs)
      .sort((a, b) => b.endedMs - a.endedMs)
      .slice(0, MOST_TOLD)
      .map(({ beganMs, endedMs, ...crash }) => ({
        ...crash,
        beganAgeMs: advertisedAgeMs(nowMs - beganMs),
        endedAgeMs: advertisedAgeMs(nowMs - endedMs),
      }));
    const goodEnds = crashHistory.successesSince(sinceMs)
      .slice(0, MOST_TOLD)
      .map(({ request, atMs }) => ({
        request,
        ageMs: advertisedAgeMs(nowMs - atMs),
      }));
    return { ends, goodEnds };
  }

  #take(crashes: readonly Crash[], from: Source): void {
    const { crashHistory, clock } = this.#deps;
    const nowMs = clock.monotonicMs();
    const before = crashHistory.crashingRequests;
    const news = crashes.filter((crash) =>
      crashHistory.recordCrash(crash, nowMs)
    );
    if (news.length === 0) return;
    this.#logVerdicts(before, from);
    const urgent = news.some(({ request }) =>
      crashHistory.crashesOf(request).length >= URGENT_CRASHES
    );
    if (urgent) this.#onUrgent(from === "own" || from === "store");
  }

  #logVerdicts(before: ReadonlySet<RequestKey>, from: Source): void {
    const { crashingRequests: poison } = this.#deps.crashHistory;
    for (const request of poison) {
      if (!before.has(request)) this.#logVerdict(request, from);
    }
    for (const request of before) {
      if (poison.has(request)) continue;
      this.#deps.logger.info("Request is no longer taken to crash servers", {
        request,
        told_by: from,
      });
    }
  }

  #logVerdict(request: RequestKey, from: Source): void {
    const { crashHistory, clock, logger } = this.#deps;
    const nowMs = clock.monotonicMs();
    const crashes = crashHistory.crashesOf(request);
    logger.warn("Request is taken to crash servers", {
      request,
      account: crashes[0]?.account,
      told_by: from,
      crashes: crashes.length,
      servers: crashes.map(({ life, address, endedMs }) =>
        `${life} ${address} ${Math.round(nowMs - endedMs)} ms ago`
      ).join(","),
    });
  }
}
