/** Detects that this process has not run for some time: frozen, suspended with its VM, or starved. */

import type { SuspendAwareClock } from "./suspend_aware_clock.ts";

/** Gap between two heartbeats that counts as a suspension. */
const MIN_GAP_MS = 1_000;
/** Time in which a resumed process reads what arrived during the suspension. */
const BACKLOG_MS = 1_000;

/** Compares the times of heartbeats. */
export class SuspensionDetector {
  readonly #clock: Pick<SuspendAwareClock, "nowMs">;
  #heartbeatMs: number | undefined;
  #resumedMs = -Infinity;

  constructor(
    { suspendAwareClock }: {
      suspendAwareClock: Pick<SuspendAwareClock, "nowMs">;
    },
  ) {
    this.#clock = suspendAwareClock;
  }

  /** Must be called several times per second. */
  heartbeat(): void {
    const nowMs = this.#clock.nowMs();
    if (nowMs - (this.#heartbeatMs ?? nowMs) >= MIN_GAP_MS) {
      this.#resumedMs = nowMs;
    }
    this.#heartbeatMs = nowMs;
  }

  /** Whether what is read now may have arrived during a suspension. */
  get hasJustResumed(): boolean {
    // The first heartbeat after a suspension may still be due.
    this.heartbeat();
    return this.#clock.nowMs() - this.#resumedMs < BACKLOG_MS;
  }
}
