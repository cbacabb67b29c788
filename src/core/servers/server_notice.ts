/** What a backend server says of itself beside an answer. */

/** Goes before what a VM has guessed of the server. */
export interface ServerNotice {
  /** How long it wants nothing from this VM, in milliseconds; 0 where it asks for no rest. */
  readonly restMs: number;
  /** Whether it is about to leave. It says so in all its answers from then on. */
  readonly leaves: boolean;
  /**
   * Requests a second that it takes from all VMs together, for as long as it says so; undefined
   * where it names no limit.
   */
  readonly limitPerS: number | undefined;
}
