/** Tracks whether the platform's store is reachable from this entry VM, and since when. */

import type { StoreHealth } from "../core/servers/server_directory.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";

/** Called when the store is reachable again after an outage. */
export type RecoveryListener = () => void;

/** Derives the health of the store from the calls of this VM and the reports of others. */
export class StoreHealthMonitor {
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #listeners: RecoveryListener[] = [];
  #onUnreachable: () => void = () => {};
  #reachable = true;
  #lastCallFailed = false;
  #unreachableSinceMs = 0;
  #lastRecoveryMs: number | undefined;

  constructor({ clock, logger }: { clock: Clock; logger: Logger }) {
    this.#clock = clock;
    this.#logger = logger;
  }

  /** State of the store, which explains entries that are missing from its lists. */
  get health(): StoreHealth {
    return { reachable: this.#reachable, recoveredAtMs: this.#lastRecoveryMs };
  }

  /** Registers a listener for the recovery of the store. */
  onRecovered(listener: RecoveryListener): void {
    this.#listeners.push(listener);
  }

  /** Sets the callback for the store becoming unreachable. */
  onUnreachable(listener: () => void): void {
    this.#onUnreachable = listener;
  }

  /**
   * Whether the last call of this VM failed. Other VMs may still reach the store and report what
   * it holds.
   */
  get lastCallFailed(): boolean {
    return this.#lastCallFailed;
  }

  /** Records that a call of this VM was answered. */
  recordSuccess(): void {
    this.#lastCallFailed = false;
    if (!this.#reachable) this.#lastRecoveryMs = this.#clock.monotonicMs();
    this.#setReachable();
  }

  /** Records that the store was restored: entries may be missing although it was never away. */
  recordRestore(): void {
    this.#lastRecoveryMs = this.#clock.monotonicMs();
  }

  #setReachable(): void {
    if (this.#reachable) return;
    const nowMs = this.#clock.monotonicMs();
    this.#reachable = true;
    this.#logger.info("Store is reachable again", {
      away_ms: Math.round(nowMs - this.#unreachableSinceMs),
    });
    for (const listener of this.#listeners) listener();
  }

  /**
   * Records that another VM reports the store as reachable; `backAgeMs` is the time since the
   * store recovered there, if it had an outage. If only this VM lost the connection, the store had
   * no outage, and servers that are missing from its lists have left. Treating each such report
   * as a recovery made an isolated relay see one every 1.7 s, so that it and its followers kept
   * servers that had left for up to 4.9 s.
   */
  recordPeerReport(backAgeMs: number | undefined): void {
    this.#setReachable();
    if (backAgeMs === undefined) return;
    const recoveryMs = this.#clock.monotonicMs() - backAgeMs;
    this.#lastRecoveryMs = Math.max(this.#lastRecoveryMs ?? 0, recoveryMs);
  }

  /** Records that a call of this VM was not answered or was refused. */
  recordFailure(reason: string): void {
    this.#lastCallFailed = true;
    if (!this.#reachable) return;
    this.#reachable = false;
    this.#unreachableSinceMs = this.#clock.monotonicMs();
    this.#logger.warn("Store is unreachable", { reason });
    this.#onUnreachable();
  }
}
