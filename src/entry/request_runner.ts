/** Steps common to every kind of request: admission, error replies and metrics. */

import type { FastifyReply, FastifyRequest } from "fastify";
import type { RequestError } from "../core/request_error.ts";
import type { EntryMetrics } from "../metrics/entry_metrics.ts";
import type { Clock } from "../runtime/clock.ts";
import type { AdmissionController } from "./admission_controller.ts";
import { replyError } from "./error_reply.ts";
import type { RequestContext } from "./request_context.ts";

const MS_PER_SECOND = 1_000;

/** A request as received from HTTP. */
export interface IncomingRequest {
  readonly req: FastifyRequest;
  readonly reply: FastifyReply;
  readonly kind: "chat" | "service";
}

/** Handles a request and replies to it, or returns the error to reply with. */
export type RequestHandler = (
  ctx: RequestContext,
) => Promise<RequestError | undefined>;

interface Deps {
  readonly admissionController: AdmissionController;
  readonly entryMetrics: EntryMetrics;
  readonly clock: Clock;
}

/** Runs the handlers of admitted requests. */
export class RequestRunner {
  readonly #deps: Deps;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Admits the request and runs `handle`; replies with its error, if any. */
  async run(
    { req, reply, kind }: IncomingRequest,
    handle: RequestHandler,
  ): Promise<FastifyReply> {
    const { admissionController, entryMetrics, clock } = this.#deps;
    const startedMs = clock.monotonicMs();
    const requestId = admissionController.newRequestId();
    const admitted = admissionController.admit(req, requestId);
    if (!admitted.ok) {
      const outcome = admitted.error.tag;
      entryMetrics.requests.inc({ kind, account: "unknown", outcome });
      return replyError(reply, { err: admitted.error, requestId });
    }
    const ctx = admitted.value;
    const onClose = () => ctx.deadline.cancel();
    reply.raw.once("close", onClose);
    try {
      const err = await handle(ctx);
      const outcome = err?.tag ?? "answered";
      entryMetrics.requests.inc({ kind, account: ctx.account.id, outcome });
      return err === undefined ? reply : replyError(reply, { err, requestId });
    } finally {
      reply.raw.off("close", onClose);
      admissionController.release(ctx);
      const seconds = (clock.monotonicMs() - startedMs) / MS_PER_SECOND;
      entryMetrics.duration.observe({ kind }, seconds);
    }
  }
}
