/** Decides whether a failed attempt may be retried. */

import type { BackendError } from "../backends/backend_error.ts";
import { describeBackendError } from "../backends/backend_error.ts";
import type { EntryRetryBudget } from "../core/limits/entry_retry_budget.ts";
import type { RequestError } from "../core/request_error.ts";
import type { AttemptOutcome } from "../core/routing/server_pool.ts";
import type { Deadline } from "../runtime/deadline.ts";

/** Statuses from here on, and 429, are failures of the server; others are caused by the request. */
const MIN_SERVER_ERROR_STATUS = 500;
const TOO_MANY_REQUESTS_STATUS = 429;

/** Whether another server may be attempted after `err`. */
export function mayRetry(
  err: BackendError,
  { repeatable, budget }: { repeatable: boolean; budget: EntryRetryBudget },
): boolean {
  switch (err.tag) {
    case "refused":
      return true;
    case "aborted":
    case "no_memory":
      return false;
    case "rejected":
      return repeatable && isServerFailure(err.status) && budget.tryWithdraw();
    case "failed":
    case "wrong_answer":
      return repeatable && budget.tryWithdraw();
  }
}

/** Returns the outcome of a failed attempt, as it affects the health of its server. */
export function attemptOutcomeOf(err: BackendError): AttemptOutcome {
  if (err.tag === "refused") return "refused";
  if (err.tag === "aborted" || err.tag === "no_memory") return "answered";
  if (err.tag === "rejected" && !isServerFailure(err.status)) return "answered";
  return "failed";
}

/** Converts the error of the last attempt into the error for the caller. */
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

function isServerFailure(status: number): boolean {
  return status >= MIN_SERVER_ERROR_STATUS ||
    status === TOO_MANY_REQUESTS_STATUS;
}
