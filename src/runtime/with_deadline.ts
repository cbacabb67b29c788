/** Runs work under a deadline of its own and closes it afterwards. */

import { Deadline } from "./deadline.ts";

/** How long the work may take, and what else ends it. */
export interface DeadlineInput {
  readonly limitMs: number;
  readonly signal?: AbortSignal;
}

/** Returns what `work` returns; `work` gives up when its deadline's signal is raised. */
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
