/** Whether this entry has lately made sure that no later configuration is in force. */

/**
 * How long an entry serves by a configuration without a confirmation, in milliseconds.
 * With the time that news takes, this keeps below the 9 s within which an accepted
 * configuration must be in force everywhere.
 */
export const FRESH_FOR_MS = 5_000;

/**
 * Holds when the configuration was last confirmed. All times are of the monotonic
 * clock, and are those at which the confirming call was started: a process that was
 * frozen in between wakes up with an old time, whatever it then reads.
 */
export class Freshness {
  #confirmedAtMs = Number.NEGATIVE_INFINITY;

  /** Notes a confirmation by the platform, by a majority, or by a peer that had one. */
  confirm(atMs: number): void {
    this.#confirmedAtMs = Math.max(this.#confirmedAtMs, atMs);
  }

  /** Age of the last confirmation. */
  ageMs(nowMs: number): number {
    return nowMs - this.#confirmedAtMs;
  }

  /** Whether requests may be served. */
  isFresh(nowMs: number): boolean {
    return this.ageMs(nowMs) <= FRESH_FOR_MS;
  }
}
