/** A promise, and the run under faults that tries to break it. */

/** How a run ended. */
export interface ProofResult {
  /** Invocations and outcomes that the checker read. */
  readonly operations: number;
  /** What contradicts the promise; empty when it held. */
  readonly violations: readonly string[];
  /** Figures worth printing. */
  readonly figures: Readonly<Record<string, string>>;
}

/** One promise of the brief. */
export interface Proof {
  readonly name: string;
  readonly promise: string;
  readonly faults: readonly string[];
  run(): Promise<ProofResult>;
}
