/** Replies to requests with errors in the common format. */

import type { FastifyReply } from "fastify";
import type { RequestId } from "../core/ids.ts";
import {
  errorMessageOf,
  executionStatusOf,
  httpStatusOf,
  type RequestError,
  retryAfterMsOf,
} from "../core/request_error.ts";

const MS_PER_SECOND = 1_000;

/** Body of every error reply. */
export interface ErrorBody {
  readonly error: {
    readonly code: RequestError["tag"];
    readonly message: string;
    /** `"no"` only when no byte of the request was sent to a backend server. */
    readonly ran: "no" | "maybe";
    readonly request_id: RequestId;
    /** Delay before a retry, in milliseconds; absent if a retry does not help. */
    readonly retry_after_ms?: number;
    /** Part of the request that is invalid. */
    readonly where?: string;
  };
}

/** Creates the body for an error. */
export function errorBody(err: RequestError, requestId: RequestId): ErrorBody {
  return {
    error: {
      code: err.tag,
      message: errorMessageOf(err),
      ran: executionStatusOf(err),
      request_id: requestId,
      retry_after_ms: retryAfterMsOf(err),
      where: err.tag === "malformed" ? err.where : undefined,
    },
  };
}

/** Sends an error reply. */
export function replyError(
  reply: FastifyReply,
  { err, requestId }: { err: RequestError; requestId: RequestId },
): FastifyReply {
  const retryAfterMs = retryAfterMsOf(err);
  if (retryAfterMs !== undefined) {
    void reply.header("retry-after", Math.ceil(retryAfterMs / MS_PER_SECOND));
  }
  return reply.code(httpStatusOf(err))
    .header("fieldrack-request-id", requestId)
    .send(errorBody(err, requestId));
}
