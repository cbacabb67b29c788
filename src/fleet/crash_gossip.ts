/** Exchanges crashes of servers, and the requests that ran during them, between VMs. */

import type { Crash } from "../core/crashes/crash.ts";
import type { CrashHistory } from "../core/crashes/crash_history.ts";
import type { EntryId, RequestKey } from "../core/ids.ts";
import type { VmDigest } from "../protocol/digest_schema.ts";
import { advertisedAgeMs } from "../protocol/store_schema.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";

/**
 * A crash is sent for at least this long after this VM learnt of it. Two VMs of a mesh exchange
 * digests every 1.2 s, a VM and its relay every 0.8 s, so one request may be lost.
 */
const RESEND_WINDOW_MS = 3_000;
/** A request involved in this many server crashes is sent without waiting for the next round. */
const URGENT_CRASHES = 2;
/** Maximum number of crashes in one message; later messages carry the rest. */
const MAX_CRASHES_SENT = 1_000;

/** Crash part of a digest. */
export type CrashDigest = VmDigest["crashes"];

interface Deps {
  readonly crashHistory: CrashHistory;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Delivery state of a VM that requests digests. */
interface Recipient {
  /** Incarnation of the process on that VM. */
  readonly life: number;
  /** Time at which it was last sent all pending crashes. */
  readonly sentMs: number;
}

/** Source of a crash, for the log. */
type Source = "own" | "store" | EntryId;

/** Records crashes, sends them to other VMs, and logs which requests are classified by them. */
export class CrashGossip {
  readonly #deps: Deps;
  readonly #recipients = new Map<EntryId, Recipient>();
  #onUrgent: (here: boolean) => void = () => {};

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /**
   * Sets the listener for crashes that other VMs need immediately; `here` is true if this VM is
   * the first one in the fleet to know of them.
   */
  onUrgent(listener: (here: boolean) => void): void {
    this.#onUrgent = listener;
  }

  /** Records a crash that this VM observed. */
  recordLocal(crash: Crash): void {
    this.#record([crash], "own");
  }

  /** Records crashes that were read from the store. */
  recordStored(crashes: readonly Crash[]): void {
    this.#record(crashes, "store");
  }

  /** Merges the crashes that another VM has sent. */
  receive({ ends, goodEnds }: CrashDigest, from: EntryId): void {
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
    this.#record(crashes, from);
  }

  /** Recent crashes, for unsolicited digests. */
  recentCrashes(): CrashDigest {
    return this.#since(this.#deps.clock.monotonicMs() - RESEND_WINDOW_MS);
  }

  /** Crashes to send to a requesting VM: all that it may not have received from this VM yet. */
  crashesFor(vm: EntryId, life: number): CrashDigest {
    const nowMs = this.#deps.clock.monotonicMs();
    const last = this.#recipients.get(vm);
    this.#recipients.set(vm, { life, sentMs: nowMs });
    // The last answer may have been lost, and so may what was sent just before the VM froze.
    return last?.life === life
      ? this.#since(last.sentMs - RESEND_WINDOW_MS)
      : this.#since(-Infinity);
  }

  /** Removes expired crashes. */
  removeExpired(): void {
    this.#deps.crashHistory.removeExpired(this.#deps.clock.monotonicMs());
  }

  #since(sinceMs: number): CrashDigest {
    const { crashHistory, clock } = this.#deps;
    if (crashHistory.isEmpty) return { ends: [], goodEnds: [] };
    const nowMs = clock.monotonicMs();
    const ends = crashHistory.crashesSince(sinceMs)
      .sort((a, b) => b.endedMs - a.endedMs)
      .slice(0, MAX_CRASHES_SENT)
      .map(({ beganMs, endedMs, ...crash }) => ({
        ...crash,
        beganAgeMs: advertisedAgeMs(nowMs - beganMs),
        endedAgeMs: advertisedAgeMs(nowMs - endedMs),
      }));
    const goodEnds = crashHistory.successesSince(sinceMs)
      .slice(0, MAX_CRASHES_SENT)
      .map(({ request, atMs }) => ({
        request,
        ageMs: advertisedAgeMs(nowMs - atMs),
      }));
    return { ends, goodEnds };
  }

  #record(crashes: readonly Crash[], from: Source): void {
    const { crashHistory, clock } = this.#deps;
    const nowMs = clock.monotonicMs();
    const before = crashHistory.crashingRequests;
    const added = crashes.filter((crash) =>
      crashHistory.recordCrash(crash, nowMs)
    );
    if (added.length === 0) return;
    this.#logClassificationChanges(before, from);
    const urgent = added.some(({ request }) =>
      crashHistory.crashesOf(request).length >= URGENT_CRASHES
    );
    if (urgent) this.#onUrgent(from === "own" || from === "store");
  }

  #logClassificationChanges(
    before: ReadonlySet<RequestKey>,
    from: Source,
  ): void {
    const { crashingRequests: poison } = this.#deps.crashHistory;
    for (const request of poison) {
      if (!before.has(request)) this.#logClassification(request, from);
    }
    for (const request of before) {
      if (poison.has(request)) continue;
      this.#deps.logger.info(
        "Request is no longer classified as crashing servers",
        {
          request,
          told_by: from,
        },
      );
    }
  }

  #logClassification(request: RequestKey, from: Source): void {
    const { crashHistory, clock, logger } = this.#deps;
    const nowMs = clock.monotonicMs();
    const crashes = crashHistory.crashesOf(request);
    logger.warn("Request is classified as crashing servers", {
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
