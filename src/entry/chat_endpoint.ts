/** `POST /v1/chat/completions`, as JSON or as a stream. */

import type { Buffer } from "node:buffer";
import type { FastifyReply, FastifyRequest } from "fastify";
import type { RequestError } from "../core/request_error.ts";
import type { EntryMetrics } from "../metrics/entry_metrics.ts";
import {
  type ChatRequest,
  chatRequestSchema,
} from "../protocol/chat_schema.ts";
import type { Clock } from "../runtime/clock.ts";
import type { RequestRunner } from "./request_runner.ts";
import type { ChatService } from "./chat_service.ts";
import { HttpChatSink } from "./http_chat_sink.ts";
import { parseJsonBody } from "./json_body.ts";
import type { RequestContext } from "./request_context.ts";

const MS_PER_SECOND = 1_000;

interface Deps {
  readonly requestRunner: RequestRunner;
  readonly chatService: ChatService;
  readonly entryMetrics: EntryMetrics;
  readonly clock: Clock;
}

interface ChatCall {
  readonly ctx: RequestContext;
  readonly reply: FastifyReply;
  readonly body: ChatRequest;
}

/** HTTP endpoint of chat requests. */
export class ChatEndpoint {
  readonly #deps: Deps;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Handles one request. */
  async handle(
    req: FastifyRequest,
    reply: FastifyReply,
  ): Promise<FastifyReply> {
    return await this.#deps.requestRunner.run(
      { req, reply, kind: "chat" },
      async (ctx) => {
        const body = parseJsonBody(
          req.body as Buffer | undefined,
          chatRequestSchema,
        );
        if (!body.ok) return body.error;
        const call = { ctx, reply, body: body.value };
        return body.value.stream === true
          ? await this.#stream(call)
          : await this.#answer(call);
      },
    );
  }

  async #answer(
    { ctx, reply, body }: ChatCall,
  ): Promise<RequestError | undefined> {
    const answer = await this.#deps.chatService.answer(ctx, body);
    if (!answer.ok) return answer.error;
    const { step, version, revision } = answer.value.target;
    void reply.header("content-type", "application/json; charset=utf-8")
      .header("fieldrack-request-id", ctx.requestId)
      .header("fieldrack-model", step.model.id)
      .header("fieldrack-version", version.id)
      .header("fieldrack-revision", revision)
      .send(answer.value.text);
    return undefined;
  }

  async #stream(
    { ctx, reply, body }: ChatCall,
  ): Promise<RequestError | undefined> {
    const { chatService, clock, entryMetrics } = this.#deps;
    const startedMs = clock.monotonicMs();
    const sink = new HttpChatSink(reply.raw, {
      requestId: ctx.requestId,
      deadline: ctx.deadline,
      onFirstEvent: () => {
        reply.hijack();
        const seconds = (clock.monotonicMs() - startedMs) / MS_PER_SECOND;
        entryMetrics.firstToken.observe(seconds);
      },
    });
    const streamed = await chatService.stream(ctx, { req: body, sink });
    return streamed.ok ? undefined : streamed.error;
  }
}
