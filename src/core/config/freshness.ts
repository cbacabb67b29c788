/** Tracks whether this entry VM's configuration was recently confirmed to be the latest. */

/**
 * Maximum age of a confirmation with which an entry VM serves requests, in milliseconds.
 * Together with the propagation delay, it stays below the 9 s within which an accepted
 * configuration must be in force everywhere.
 */
export const MAX_CONFIRMATION_AGE_MS = 5_000;

/**
 * Records when the configuration was last confirmed. All times are by the monotonic clock and
 * denote the start of the confirming call: if the process is suspended during the call, the
 * confirmation counts as old when it resumes, whatever the call returns.
 */
export class Freshness {
  #confirmedAtMs = Number.NEGATIVE_INFINITY;

  /** Records a confirmation by the platform, a majority or a confirmed peer. */
  confirm(atMs: number): void {
    this.#confirmedAtMs = Math.max(this.#confirmedAtMs, atMs);
  }

  /** Returns the age of the last confirmation in milliseconds; infinite before the first. */
  ageMs(nowMs: number): number {
    return nowMs - this.#confirmedAtMs;
  }

  /** Returns whether the confirmation is recent enough to serve requests. */
  isFresh(nowMs: number): boolean {
    return this.ageMs(nowMs) <= MAX_CONFIRMATION_AGE_MS;
  }
}
