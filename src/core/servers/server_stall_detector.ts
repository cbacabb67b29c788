/** Tells servers that have fallen silent from those that are only slow. */

import type { InstanceId, RouteId } from "../ids.ts";

/** A server that sends nothing for this long is asked whether it still answers. */
const QUIET_MS = 400;
/**
 * A server that sends nothing at all for this long, answers to probes included, has
 * fallen silent; two probes may have been lost by then.
 */
const SERVER_SILENT_MS = 900;
/** How many times longer than usual a first byte may take before it is given up. */
const FIRST_BYTE_FACTOR = 6;
/** Part of the latency objective that a first byte may take in any case. */
const TARGET_PART = 0.75;
/** Shortest wait for a first byte: that of a queue, or of one packet lost. */
const FIRST_BYTE_MIN_MS = 300;
/** How many times longer than worked out a first byte may take: paces are learnt. */
const EXPECTED_FACTOR = 3;
/** Wait for a first byte before any was seen on the route. */
const FIRST_BYTE_UNKNOWN_MS = 1_500;
/** Longest pause within a stream while its server talks to others. */
const STREAM_PAUSE_MS = 1_600;
/**
 * Servers that have not spoken for this long are forgotten, in milliseconds; nothing that
 * waits for one of them runs as long.
 */
const FORGET_AFTER_MS = 600_000;
/** Weight of the newest first byte in the usual time. */
const WEIGHT = 0.1;

/** A try that waits for bytes. */
export interface WaitingAttempt {
  readonly instance: InstanceId;
  /** Stands for requests of the same kind: route and model. */
  readonly kind: string;
  readonly sentMs: number;
  /** Latency objective of its route; undefined where there is none. */
  readonly targetMs: number | undefined;
  /** When its first byte was expected as it was sent, in milliseconds from then. */
  readonly expectedMs: number;
  /** When its last byte came; undefined before the first. */
  readonly byteMs: number | undefined;
  /**
   * From when the server may be asked whether it still answers, as one that rests may not;
   * undefined where it always might. Nothing is made of its silence before.
   */
  readonly askableMs: number | undefined;
}

/** Why a try is given up. */
export type StallReason =
  | "server_silent"
  | "no_first_byte"
  | "stream_paused"
  /** Its server has started again, and runs nothing of before. */
  | "server_restarted";

/** Names a kind of request. */
export function requestKindOf(
  route: RouteId,
  model: string | undefined,
): string {
  return `${route}/${model ?? ""}`;
}

/** Keeps when servers last spoke, and how long first bytes take. */
export class ServerStallDetector {
  readonly #spokeMs = new Map<InstanceId, number>();
  readonly #firstByteMs = new Map<string, number>();

  /** Notes a byte of a server. */
  recordActivity(instance: InstanceId, nowMs: number): void {
    this.#spokeMs.set(instance, nowMs);
  }

  /** Notes how long a first byte took. */
  recordFirstByte(kind: string, ms: number): void {
    const known = this.#firstByteMs.get(kind);
    const next = known === undefined ? ms : known + WEIGHT * (ms - known);
    this.#firstByteMs.set(kind, next);
  }

  /**
   * Forgets servers that have not spoken for long, as when some are gone. One that only
   * takes no new work is still at what it has, and must not look as if it had never spoken.
   */
  removeInactive(nowMs: number): void {
    for (const [instance, spokeMs] of this.#spokeMs) {
      if (nowMs - spokeMs > FORGET_AFTER_MS) this.#spokeMs.delete(instance);
    }
  }

  /** Says why a try should be given up now, if it should. */
  detectStall(waiting: WaitingAttempt, nowMs: number): StallReason | undefined {
    const { sentMs, byteMs } = waiting;
    if (this.#quietMs(waiting, nowMs) >= SERVER_SILENT_MS) {
      return "server_silent";
    }
    if (byteMs !== undefined) {
      return nowMs - byteMs >= STREAM_PAUSE_MS ? "stream_paused" : undefined;
    }
    const waitedMs = nowMs - sentMs;
    return waitedMs >= this.#patienceMs(waiting) ? "no_first_byte" : undefined;
  }

  /** Whether the server of a try should be asked if it still answers. */
  needsProbe(waiting: WaitingAttempt, nowMs: number): boolean {
    return this.#quietMs(waiting, nowMs) >= QUIET_MS;
  }

  #quietMs(
    { instance, sentMs, byteMs, askableMs = 0 }: WaitingAttempt,
    nowMs: number,
  ): number {
    const spokeMs = this.#spokeMs.get(instance) ?? 0;
    return nowMs - Math.max(spokeMs, byteMs ?? sentMs, askableMs);
  }

  #patienceMs({ kind, targetMs = 0, expectedMs }: WaitingAttempt): number {
    const usual = this.#firstByteMs.get(kind);
    const byWork = EXPECTED_FACTOR * expectedMs;
    if (usual === undefined) return Math.max(FIRST_BYTE_UNKNOWN_MS, byWork);
    return Math.max(
      FIRST_BYTE_MIN_MS,
      FIRST_BYTE_FACTOR * usual,
      TARGET_PART * targetMs,
      byWork,
    );
  }
}
