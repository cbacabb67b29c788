/** The frame round every kind of request: let in, work, answer errors, count. */

import type { FastifyReply, FastifyRequest } from "fastify";
import type { RequestError } from "../core/request_error.ts";
import type { EntryMetrics } from "../metrics/entry_metrics.ts";
import type { Clock } from "../runtime/clock.ts";
import type { CallerGate } from "./caller_gate.ts";
import { replyError } from "./error_reply.ts";
import type { RequestContext } from "./request_context.ts";

const MS_PER_SECOND = 1_000;

/** One request as it came in. */
export interface Incoming {
  readonly req: FastifyRequest;
  readonly reply: FastifyReply;
  readonly kind: "chat" | "service";
}

/** Answers the request itself, or returns the error to answer with. */
export type Work = (ctx: RequestContext) => Promise<RequestError | undefined>;

interface Deps {
  readonly callerGate: CallerGate;
  readonly entryMetrics: EntryMetrics;
  readonly clock: Clock;
}

/** Runs the work of requests that may come in. */
export class Admission {
  readonly #deps: Deps;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Runs `work` with the context of the request, and answers with its error. */
  async admit(
    { req, reply, kind }: Incoming,
    work: Work,
  ): Promise<FastifyReply> {
    const { callerGate, entryMetrics, clock } = this.#deps;
    const startedMs = clock.monotonicMs();
    const requestId = callerGate.newRequestId();
    const entered = callerGate.enter(req, requestId);
    if (!entered.ok) {
      const outcome = entered.error.tag;
      entryMetrics.requests.inc({ kind, account: "unknown", outcome });
      return replyError(reply, { err: entered.error, requestId });
    }
    const ctx = entered.value;
    const onGone = () => ctx.deadline.cancel();
    reply.raw.once("close", onGone);
    try {
      const err = await work(ctx);
      const outcome = err?.tag ?? "answered";
      entryMetrics.requests.inc({ kind, account: ctx.account.id, outcome });
      return err === undefined ? reply : replyError(reply, { err, requestId });
    } finally {
      reply.raw.off("close", onGone);
      callerGate.leave(ctx);
      const seconds = (clock.monotonicMs() - startedMs) / MS_PER_SECOND;
      entryMetrics.duration.observe({ kind }, seconds);
    }
  }
}
