/** Counts of answers and failures in which older ones count less. */

/** Time in which a count halves, in milliseconds: a few rounds of digests. */
const HALF_LIFE_MS = 1_500;

/** Answers of one server, as seen by one VM. */
export class RecentAnswers {
  #answers = 0;
  #failures = 0;
  #atMs = 0;

  /** Counts an answer, or what should have been one. */
  note(failed: boolean, nowMs: number): void {
    this.#fade(nowMs);
    this.#answers += 1;
    if (failed) this.#failures += 1;
  }

  /** Counts as of now. */
  counts(nowMs: number): {
    readonly answers: number;
    readonly failures: number;
  } {
    this.#fade(nowMs);
    return { answers: this.#answers, failures: this.#failures };
  }

  #fade(nowMs: number): void {
    const part = 0.5 ** (Math.max(0, nowMs - this.#atMs) / HALF_LIFE_MS);
    this.#answers *= part;
    this.#failures *= part;
    this.#atMs = nowMs;
  }
}
