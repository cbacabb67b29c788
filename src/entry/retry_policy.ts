/** Decides whether a failed try may be followed by another. */

import type { BackendError } from "../backends/backend_error.ts";
import { describeBackendError } from "../backends/backend_error.ts";
import type { EntryRetryBudget } from "../core/limits/entry_retry_budget.ts";
import type { RequestError } from "../core/request_error.ts";
import type { AttemptOutcome } from "../core/routing/server_pool.ts";
import type { Deadline } from "../runtime/deadline.ts";

/** Statuses that speak of the request, not of the server. */
const FIRST_SERVER_ERROR = 500;
const TOO_MANY_REQUESTS = 429;

/** Whether another server may be tried after `err`. */
export function mayRetry(
  err: BackendError,
  { repeatable, budget }: { repeatable: boolean; budget: EntryRetryBudget },
): boolean {
  switch (err.tag) {
    case "refused":
      return true;
    case "aborted":
      return false;
    case "rejected":
      return repeatable && isServersFault(err.status) && budget.tryWithdraw();
    case "failed":
    case "wrong_answer":
      return repeatable && budget.tryWithdraw();
  }
}

/** What a failed try says about the health of its server. */
export function tryOutcomeOf(err: BackendError): AttemptOutcome {
  if (err.tag === "refused") return "refused";
  if (err.tag === "aborted") return "answered";
  if (err.tag === "rejected" && !isServersFault(err.status)) return "answered";
  return "failed";
}

/** Turns the error of the last try into the answer to the caller. */
export function requestErrorOf(
  err: BackendError,
  { deadline, sentBefore }: { deadline: Deadline; sentBefore: boolean },
): RequestError {
  const reason = describeBackendError(err);
  if (err.tag !== "aborted") {
    const ran = err.tag === "refused" && !sentBefore ? "no" : "maybe";
    return { tag: "backend_failed", reason, ran };
  }
  const ran = err.sent || sentBefore ? "maybe" : "no";
  if (deadline.end === "cancelled") return { tag: "cancelled", ran };
  return { tag: "deadline", limitMs: deadline.limitMs, ran };
}

function isServersFault(status: number): boolean {
  return status >= FIRST_SERVER_ERROR || status === TOO_MANY_REQUESTS;
}
