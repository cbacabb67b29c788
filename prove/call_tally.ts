/** Counts the results of calls in each phase of a run. */

interface Counts {
  succeeded: number;
  refused: number;
}

/** Numbers of successful and refused calls by phase. */
export class CallTally {
  readonly #phases = new Map<string, Counts>();
  #phase = "other faults";

  /** Counts subsequent calls under `phase`. */
  startPhase(phase: string): void {
    this.#phase = phase;
  }

  /** Counts one call by the status of its response. */
  recordStatus(status: number): void {
    const counts = this.#phases.get(this.#phase) ??
      { succeeded: 0, refused: 0 };
    this.#phases.set(this.#phase, counts);
    if (status === 200) counts.succeeded += 1;
    else counts.refused += 1;
  }

  /** Returns the share of refused calls for each phase. */
  figures(): Record<string, string> {
    const lines = [...this.#phases].map(([phase, { succeeded, refused }]) => {
      const share = 100 * refused / (succeeded + refused);
      return [
        `calls refused, ${phase}`,
        `${refused} of ${succeeded + refused} (${share.toFixed(1)}%)`,
      ];
    });
    return Object.fromEntries(lines);
  }
}
