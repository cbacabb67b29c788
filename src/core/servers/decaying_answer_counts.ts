/** Counts of answers and failures with exponential decay. */

/** Time in which a count halves, in milliseconds: a few rounds of the digest exchange between VMs. */
const HALF_LIFE_MS = 1_500;

/** Answers and failures of one server, as seen by one VM. */
export class DecayingAnswerCounts {
  #answers = 0;
  #failures = 0;
  #updatedMs = 0;

  /** Counts an answer, or a failure to get one. */
  record(failed: boolean, nowMs: number): void {
    this.#decay(nowMs);
    this.#answers += 1;
    if (failed) this.#failures += 1;
  }

  /** Forgets all answers and failures. */
  reset(): void {
    this.#answers = 0;
    this.#failures = 0;
  }

  /** Returns the counts as of now. */
  counts(nowMs: number): {
    readonly answers: number;
    readonly failures: number;
  } {
    this.#decay(nowMs);
    return { answers: this.#answers, failures: this.#failures };
  }

  #decay(nowMs: number): void {
    const factor = 0.5 ** (Math.max(0, nowMs - this.#updatedMs) / HALF_LIFE_MS);
    this.#answers *= factor;
    this.#failures *= factor;
    this.#updatedMs = nowMs;
  }
}
