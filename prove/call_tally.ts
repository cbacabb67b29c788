/** Counts what callers got in each phase of a run. */

interface Counts {
  answered: number;
  refused: number;
}

/** Answered and refused calls by phase. */
export class CallTally {
  readonly #phases = new Map<string, Counts>();
  #phase = "other faults";

  /** Counts the calls from now on under `phase`. */
  begin(phase: string): void {
    this.#phase = phase;
  }

  /** Counts one call that an entry answered, with its status. */
  note(status: number): void {
    const counts = this.#phases.get(this.#phase) ?? { answered: 0, refused: 0 };
    this.#phases.set(this.#phase, counts);
    if (status === 200) counts.answered += 1;
    else counts.refused += 1;
  }

  /** One line for each phase. */
  figures(): Record<string, string> {
    const lines = [...this.#phases].map(([phase, { answered, refused }]) => {
      const share = 100 * refused / (answered + refused);
      return [
        `calls refused, ${phase}`,
        `${refused} of ${answered + refused} (${share.toFixed(1)}%)`,
      ];
    });
    return Object.fromEntries(lines);
  }
}
