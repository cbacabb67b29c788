/** Runs work with a deadline of its own. */

import { Deadline } from "./deadline.ts";

/** Time limit of the work, and a signal that cancels it earlier. */
export interface DeadlineInput {
  readonly limitMs: number;
  readonly signal?: AbortSignal;
}

/** Returns the result of `work`, which must stop when the signal of its deadline is aborted. */
export async function withDeadline<T>(
  { limitMs, signal }: DeadlineInput,
  work: (deadline: Deadline) => Promise<T>,
): Promise<T> {
  const deadline = new Deadline(limitMs);
  const onAbort = () => deadline.cancel();
  signal?.addEventListener("abort", onAbort);
  try {
    return await work(deadline);
  } finally {
    signal?.removeEventListener("abort", onAbort);
    deadline.close();
  }
}
