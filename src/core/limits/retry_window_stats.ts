/** Counts, for one service and one reporting window, of what the retry budget was charged and paid. */

/** Counts since the previous report. */
export interface RetryWindowCounts {
  /** Requests that earned a fraction of a retry. */
  readonly requests: number;
  /** Requests that earned nothing, as they were sent in an earlier window. */
  readonly lateRequests: number;
  readonly sent: number;
  /** Part of the sent retries that was charged to the allowance. */
  readonly charged: number;
  /** Retries that have arrived at a server, or can no longer arrive. */
  readonly arrived: number;
  /** Longest time between the sending and the arrival of a retry, in milliseconds. */
  readonly slowestArrivalMs: number;
}

const NO_COUNTS: RetryWindowCounts = {
  requests: 0,
  lateRequests: 0,
  sent: 0,
  charged: 0,
  arrived: 0,
  slowestArrivalMs: 0,
};

/** Accumulates counts until they are reported. */
export class RetryWindowStats {
  #counts = NO_COUNTS;

  /** Counts a request. */
  recordRequest({ isLate }: { isLate: boolean }): void {
    const { requests, lateRequests } = this.#counts;
    this.#counts = isLate
      ? { ...this.#counts, lateRequests: lateRequests + 1 }
      : { ...this.#counts, requests: requests + 1 };
  }

  /** Counts a retry that is sent, and the part of it that the allowance pays. */
  recordSent(charged: number): void {
    const { sent, charged: total } = this.#counts;
    this.#counts = {
      ...this.#counts,
      sent: sent + 1,
      charged: total + charged,
    };
  }

  /** Counts a retry that has arrived. */
  recordArrival(ageMs: number): void {
    const { arrived, slowestArrivalMs } = this.#counts;
    this.#counts = {
      ...this.#counts,
      arrived: arrived + 1,
      slowestArrivalMs: Math.max(slowestArrivalMs, ageMs),
    };
  }

  /** Returns the counts and resets them. */
  take(): RetryWindowCounts {
    const counts = this.#counts;
    this.#counts = NO_COUNTS;
    return counts;
  }
}
