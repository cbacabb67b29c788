/** Exchanges crashes of servers, and the requests that ran during them, between VMs. */

import type { Crash } from "../core/crashes/crash.ts";
import type { CrashHistory } from "../core/crashes/crash_history.ts";
import {
  describeKeys,
  type Hypothesis,
} from "../core/crashes/crash_hypotheses.ts";
import type { PartCompletion } from "../core/crashes/part_completions.ts";
import type { EntryId, PartKey } from "../core/ids.ts";
import {
  MAX_DIGEST_COMPLETIONS,
  MAX_DIGEST_CRASHES,
  type VmDigest,
} from "../protocol/digest_schema.ts";
import { advertisedAgeMs } from "../protocol/store_schema.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";
import { packCrashes } from "./crash_report_packer.ts";

/**
 * A crash is sent for at least this long after this VM learnt of it. Two VMs of a mesh exchange
 * digests every 1.2 s, a VM and its relay every 0.8 s, so one request may be lost.
 */
const RESEND_WINDOW_MS = 3_000;
/**
 * A request involved in this many server crashes is sent without waiting for the next round. One
 * with shared prompt parts is always sent so, as the next crash may come with another request.
 */
const URGENT_CRASHES = 2;
/** Maximum number of servers named in one log line. */
const MAX_SERVERS_LOGGED = 16;

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
  /** Culprits as last logged. */
  #classified: readonly Hypothesis[] = [];
  /** Source of the reports since then. */
  #changedBy: Source | undefined;
  /** Number of digests so far. */
  #rounds = 0;
  #onUrgent: (here: boolean) => void = () => {};
  #onCrash: (crash: Crash) => void = () => {};

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

  /** Sets the listener for crashes that this VM did not know before. */
  onCrash(listener: (crash: Crash) => void): void {
    this.#onCrash = listener;
  }

  /** Records a crash that this VM observed. */
  recordLocal(crash: Crash): void {
    this.#record([crash], "own");
  }

  /** Records crashes that were read from the store. */
  recordStored(crashes: readonly Crash[]): void {
    this.#record(crashes, "store");
  }

  /** The same at the start of this VM, when all others read the store as well. */
  recordLoaded(crashes: readonly Crash[]): void {
    this.#add(crashes, this.#deps.clock.monotonicMs());
    this.#logClassificationChanges("store");
  }

  /** Records the completion of a request with these prompt parts on this VM. */
  recordCompletion(parts: readonly PartKey[]): void {
    const { crashHistory, clock } = this.#deps;
    const nowMs = clock.monotonicMs();
    const cleared = parts.filter((part) =>
      crashHistory.recordCompletion({ part, atMs: nowMs }, nowMs)
    );
    if (cleared.length === 0) return;
    this.#logClassificationChanges("own");
    this.#onUrgent(true);
  }

  /** Merges the crashes that another VM has sent. */
  receive({ ends, goodEnds, completions }: CrashDigest, from: EntryId): void {
    if (ends.length + goodEnds.length + completions.length === 0) return;
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
    const added = this.#add(crashes, nowMs);
    // After the crashes, as a part is unknown before.
    const cleared = completions.filter(({ part, ageMs }) =>
      crashHistory.recordCompletion({ part, atMs: nowMs - ageMs }, nowMs)
    );
    this.#logClassificationChanges(from);
    if (this.#areUrgent(added) || cleared.length > 0) this.#onUrgent(false);
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
    if (crashHistory.isEmpty) {
      return { ends: [], goodEnds: [], completions: [] };
    }
    const nowMs = clock.monotonicMs();
    this.#rounds += 1;
    const ends = packCrashes(crashHistory.crashesSince(sinceMs), {
      nowMs,
      round: this.#rounds,
    });
    const goodEnds = crashHistory.successesSince(sinceMs)
      .slice(0, MAX_DIGEST_CRASHES)
      .map(({ request, atMs }) => ({
        request,
        ageMs: advertisedAgeMs(nowMs - atMs),
      }));
    const completions = this.#shareOf(crashHistory.completionsSince(sinceMs))
      .map(({ part, atMs }) => ({
        part,
        ageMs: advertisedAgeMs(nowMs - atMs),
      }));
    return { ends, goodEnds, completions };
  }

  /** Returns the completions for one digest; those that do not fit are in the next ones. */
  #shareOf(completions: readonly PartCompletion[]): readonly PartCompletion[] {
    if (completions.length <= MAX_DIGEST_COMPLETIONS) return completions;
    const start = (this.#rounds * MAX_DIGEST_COMPLETIONS) % completions.length;
    return [...completions.slice(start), ...completions.slice(0, start)]
      .slice(0, MAX_DIGEST_COMPLETIONS);
  }

  #record(crashes: readonly Crash[], from: Source): void {
    const added = this.#add(crashes, this.#deps.clock.monotonicMs());
    this.#logClassificationChanges(from);
    if (this.#areUrgent(added)) this.#onUrgent(true);
  }

  /** Records crashes; returns those that were not known before. */
  #add(crashes: readonly Crash[], nowMs: number): readonly Crash[] {
    const { crashHistory } = this.#deps;
    const added = crashes.filter((crash) =>
      crashHistory.recordCrash(crash, nowMs)
    );
    for (const crash of added) this.#onCrash(crash);
    return added;
  }

  #areUrgent(crashes: readonly Crash[]): boolean {
    const { crashHistory } = this.#deps;
    return crashes.some(({ request, parts }) =>
      parts.length > 0 ||
      crashHistory.crashesOf(request).length >= URGENT_CRASHES
    );
  }

  /**
   * Logs the changes once this turn of the event loop has ended. Many requests may report the crash of
   * one server, and what follows from all their reports is found only once.
   */
  #logClassificationChanges(from: Source): void {
    const isScheduled = this.#changedBy !== undefined;
    this.#changedBy = from;
    if (isScheduled) return;
    setImmediate(() => {
      const source = this.#changedBy ?? from;
      this.#changedBy = undefined;
      const before = this.#classified;
      this.#classified = this.#deps.crashHistory.culprits;
      for (const culprit of without(this.#classified, before)) {
        this.#logClassification(culprit, source);
      }
      for (const culprit of without(before, this.#classified)) {
        this.#deps.logger.info("No longer classified as crashing servers", {
          keys: describeKeys(culprit),
          told_by: source,
        });
      }
    });
  }

  #logClassification(culprit: Hypothesis, from: Source): void {
    const { clock, logger } = this.#deps;
    const { crashes } = culprit;
    const nowMs = clock.monotonicMs();
    logger.warn("Requests are classified as crashing servers", {
      keys: describeKeys(culprit),
      account: crashes[0]?.account,
      told_by: from,
      crashes: crashes.length,
      servers: crashes.slice(-MAX_SERVERS_LOGGED).map((
        { life, address, request, endedMs },
      ) =>
        `${life} ${address} ${request} ${Math.round(nowMs - endedMs)} ms ago`
      ).join(","),
    });
  }
}

/** Those of the hypotheses that are not among the others. */
function without(
  hypotheses: readonly Hypothesis[],
  others: readonly Hypothesis[],
): readonly Hypothesis[] {
  const ids = new Set(others.map(({ id }) => id));
  return hypotheses.filter(({ id }) => !ids.has(id));
}
