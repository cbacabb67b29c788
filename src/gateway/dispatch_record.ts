/** Records the transmissions of one request that a backend server may have run. */

/** One transmission of a request, to a server or through another VM. */
export interface Dispatch {
  /** Whether the first byte of the request was about to be written, or has been. */
  readonly hasBegun: boolean;
  /** Records that the first byte of the request is about to be written. */
  begin(): void;
  /** Records that its receiver did not run the request, and never will. */
  confirmNotRun(): void;
}

/**
 * Whether a server may have run a request. The record is the only basis on which a caller is told
 * that none has: a transmission counts from before its first byte, and until its receiver states
 * that it did not run the request, whatever is awaited in between.
 */
export class DispatchRecord {
  readonly #unconfirmed = new Set<Dispatch>();

  /** Whether a server may have run the request, or may still run it. */
  get mayHaveRun(): boolean {
    return this.#unconfirmed.size > 0;
  }

  /** Returns a transmission that has not begun. */
  prepare(): Dispatch {
    const unconfirmed = this.#unconfirmed;
    let hasBegun = false;
    return {
      get hasBegun() {
        return hasBegun;
      },
      begin() {
        hasBegun = true;
        unconfirmed.add(this);
      },
      confirmNotRun() {
        unconfirmed.delete(this);
      },
    };
  }
}
