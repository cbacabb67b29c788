/** Distinguishes servers that have stalled from those that are only slow. */

import type { InstanceId, RouteId } from "../ids.ts";

/** A server that sends nothing for this long is probed. */
const PROBE_AFTER_MS = 400;
/**
 * A server that sends nothing for this long, not even answers to probes, counts as silent. Up to two
 * probes may have been lost by then.
 */
const SERVER_SILENT_MS = 900;
/** Multiple of the usual time to first byte after which an attempt is abandoned. */
const FIRST_BYTE_FACTOR = 6;
/** Fraction of the latency objective that a first byte may always take. */
const FIRST_BYTE_TARGET_SHARE = 0.75;
/** Shortest timeout for a first byte: covers a queue or one lost packet. */
const MIN_FIRST_BYTE_TIMEOUT_MS = 300;
/** Multiple of the predicted time to first byte that is allowed, as predictions are estimates. */
const PREDICTED_FACTOR = 3;
/** Timeout for a first byte before one was received for this kind of request. */
const INITIAL_TIMEOUT_MS = 1_500;
/** Longest pause within a stream while its server still sends other bytes. */
const MAX_STREAM_PAUSE_MS = 1_600;
/**
 * Servers that have sent nothing for this long are removed, in milliseconds. No attempt waits that
 * long for a server.
 */
const INACTIVE_TTL_MS = 600_000;
/** Weight of the newest sample in the moving average of the time to first byte. */
const FIRST_BYTE_WEIGHT = 0.1;

/** An attempt that waits for bytes. */
export interface WaitingAttempt {
  readonly instance: InstanceId;
  /** Route and model, as `requestKindOf` returns them. */
  readonly kind: string;
  readonly sentMs: number;
  /** Latency objective of the route, in milliseconds; undefined if it has none. */
  readonly targetMs: number | undefined;
  /** Time to first byte predicted when the attempt was sent, in milliseconds. */
  readonly expectedMs: number;
  /** When the last byte was received; undefined before the first. */
  readonly byteMs: number | undefined;
  /**
   * When probes of the server are allowed again, as servers in backoff must not be probed;
   * undefined if they always were. Its silence before that time does not count.
   */
  readonly earliestProbeMs: number | undefined;
}

/** Why an attempt is abandoned. */
export type StallReason =
  | "server_silent"
  | "no_first_byte"
  | "stream_paused"
  /** The server has restarted and no longer runs the request. */
  | "server_restarted";

/** Returns the key of a kind of request: its route and model. */
export function requestKindOf(
  route: RouteId,
  model: string | undefined,
): string {
  return `${route}/${model ?? ""}`;
}

/** Tracks when servers last sent bytes, and the usual time to first byte of each kind of request. */
export class ServerStallDetector {
  readonly #lastActivityMs = new Map<InstanceId, number>();
  readonly #firstByteMs = new Map<string, number>();

  /** Records that a server has sent a byte. */
  recordActivity(instance: InstanceId, nowMs: number): void {
    this.#lastActivityMs.set(instance, nowMs);
  }

  /** Records the time to first byte of an attempt. */
  recordFirstByte(kind: string, ms: number): void {
    const known = this.#firstByteMs.get(kind);
    const next = known === undefined
      ? ms
      : known + FIRST_BYTE_WEIGHT * (ms - known);
    this.#firstByteMs.set(kind, next);
  }

  /**
   * Removes servers that have sent nothing for long. Servers that only take no new work are kept:
   * they still run requests, which must not look as if their server had never sent anything.
   */
  removeInactive(nowMs: number): void {
    for (const [instance, atMs] of this.#lastActivityMs) {
      if (nowMs - atMs > INACTIVE_TTL_MS) this.#lastActivityMs.delete(instance);
    }
  }

  /** Returns why an attempt should be abandoned now; undefined if it should not. */
  detectStall(waiting: WaitingAttempt, nowMs: number): StallReason | undefined {
    const { sentMs, byteMs } = waiting;
    if (this.#silentMs(waiting, nowMs) >= SERVER_SILENT_MS) {
      return "server_silent";
    }
    if (byteMs !== undefined) {
      return nowMs - byteMs >= MAX_STREAM_PAUSE_MS
        ? "stream_paused"
        : undefined;
    }
    const waitedMs = nowMs - sentMs;
    return waitedMs >= this.#firstByteTimeoutMs(waiting)
      ? "no_first_byte"
      : undefined;
  }

  /** Whether the server of an attempt should be probed. */
  needsProbe(waiting: WaitingAttempt, nowMs: number): boolean {
    return this.#silentMs(waiting, nowMs) >= PROBE_AFTER_MS;
  }

  #silentMs(
    { instance, sentMs, byteMs, earliestProbeMs = 0 }: WaitingAttempt,
    nowMs: number,
  ): number {
    const lastActivityMs = this.#lastActivityMs.get(instance) ?? 0;
    return nowMs - Math.max(lastActivityMs, byteMs ?? sentMs, earliestProbeMs);
  }

  #firstByteTimeoutMs(
    { kind, targetMs = 0, expectedMs }: WaitingAttempt,
  ): number {
    const usual = this.#firstByteMs.get(kind);
    const predictedMs = PREDICTED_FACTOR * expectedMs;
    if (usual === undefined) return Math.max(INITIAL_TIMEOUT_MS, predictedMs);
    return Math.max(
      MIN_FIRST_BYTE_TIMEOUT_MS,
      FIRST_BYTE_FACTOR * usual,
      FIRST_BYTE_TARGET_SHARE * targetMs,
      predictedMs,
    );
  }
}
