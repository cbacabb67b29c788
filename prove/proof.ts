/** A guarantee of the router and the fault-injection run that tries to violate it. */

/** Result of a run. */
export interface ProofResult {
  /** Number of events that the checker evaluated. */
  readonly operations: number;
  /** Violations of the guarantee; empty when it held. */
  readonly violations: readonly string[];
  /** Measurements to print, by label. */
  readonly figures: Readonly<Record<string, string>>;
}

/** One guarantee that is checked under faults. */
export interface Proof {
  readonly name: string;
  readonly guarantee: string;
  readonly faults: readonly string[];
  run(): Promise<ProofResult>;
}
