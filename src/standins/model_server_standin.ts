/** Stand-in for a model server: the chat API on top of a batching engine, with fault injection. */

import fastify, {
  type FastifyInstance,
  type FastifyReply,
  type FastifyRequest,
} from "fastify";
import * as z from "zod";
import {
  type ChatRequest,
  chatRequestSchema,
} from "../protocol/chat_schema.ts";
import { listenHttp } from "../runtime/listen.ts";
import { BatchEngine, type EngineSpeed } from "./batch_engine.ts";
import { type ModelFaults, modelFaultsSchema } from "./model_faults.ts";
import type { Generation } from "./generation.ts";
import { GenerationStream } from "./generation_stream.ts";

const DEFAULT_MAX_TOKENS = 32;
const CHARACTERS_PER_TOKEN = 4;
const MAX_LOGGED_REQUESTS = 50_000;
const BODY_LIMIT_BYTES = 16 * 1024 * 1024;

const orderSchema = z.strictObject({
  fence: z.int(),
  action: z.enum(["load", "unload"]),
  version: z.string(),
});

/** Options of a model server stand-in. */
export interface ModelServerOptions extends EngineSpeed {
  /** Quality of each served version, by `model@version`; see `GenerationInput.quality`. */
  readonly qualities: ReadonlyMap<string, number>;
  /** Interval at which the load report is refreshed, in milliseconds. */
  readonly reportIntervalMs: number;
}

/** HTTP server that generates answers, accepts load and unload orders, and reports its load. */
export class ModelServerStandin {
  readonly #http: FastifyInstance;
  readonly #engine: BatchEngine;
  readonly #qualities: Map<string, number>;
  readonly #loaded: Set<string>;
  readonly #requestCounts = new Map<string, number>();
  /** The latest accepted requests, with the Unix time at which each was accepted. */
  readonly #requestLog: { readonly version: string; readonly at_ms: number }[] =
    [];
  readonly #reportTimer: NodeJS.Timeout;
  #loadReport = { running: 0, waiting: 0 };
  #faults: ModelFaults = {};
  #highestFence = 0;

  constructor(options: ModelServerOptions) {
    this.#engine = new BatchEngine(options);
    this.#qualities = new Map(options.qualities);
    this.#loaded = new Set(options.qualities.keys());
    this.#reportTimer = setInterval(() => {
      const { running, waiting } = this.#engine;
      this.#loadReport = { running, waiting };
    }, options.reportIntervalMs);
    this.#http = fastify({
      bodyLimit: BODY_LIMIT_BYTES,
      forceCloseConnections: true,
    });
    this.#http.post(
      "/v1/chat/completions",
      (req, reply) => this.#chat(req, reply),
    );
    this.#http.post("/v1/resume", (req, reply) => this.#resume(req, reply));
    this.#http.post("/v1/cancel", (req) => this.#cancel(req.body));
    this.#http.post("/orders", (req, reply) => this.#order(req.body, reply));
    this.#http.get("/load", () => this.#loadReport);
    this.#http.get("/counts", () => ({
      ...this.#engine.counts,
      requests: Object.fromEntries(this.#requestCounts),
    }));
    this.#http.get("/work", () => ({ work: this.#requestLog }));
    this.#http.put("/faults", (req) => {
      this.#faults = modelFaultsSchema.parse(req.body);
      return { ok: true };
    });
  }

  /** Starts listening; returns the base URL. */
  async listen(address: string): Promise<string> {
    return `http://${await listenHttp(this.#http, address)}`;
  }

  /** Stops the server and closes all connections. */
  async close(): Promise<void> {
    clearInterval(this.#reportTimer);
    await this.#http.close();
  }

  async #chat(req: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
    const body = chatRequestSchema.parse(req.body);
    const { status, cut_before_answer } = this.#faults;
    if (status !== undefined) {
      return reply.code(status).send({ error: "fault" });
    }
    if (!this.#loaded.has(body.model)) {
      return reply.code(404).send({
        error: `version ${body.model} is not loaded`,
      });
    }
    this.#requestCounts.set(
      body.model,
      (this.#requestCounts.get(body.model) ?? 0) + 1,
    );
    this.#requestLog.push({ version: body.model, at_ms: Date.now() });
    if (this.#requestLog.length > MAX_LOGGED_REQUESTS) this.#requestLog.shift();
    const generation = this.#engine.submit(
      this.#input(body, String(req.headers["x-request-id"])),
      String(req.headers["x-priority"] ?? "standard"),
    );
    if (cut_before_answer === true) return cutConnection(reply);
    if (body.stream === true) {
      return this.#stream(generation, { reply, body, offset: 0 });
    }
    await waitUntilDone(generation);
    return reply.send(
      completionBody(generation, { body, faults: this.#faults }),
    );
  }

  #input(body: ChatRequest, requestId: string): Generation["input"] {
    const prompt = JSON.stringify(body.messages);
    const maxTokens = Number(body.max_tokens ?? DEFAULT_MAX_TOKENS);
    const { wrong_versions = [] } = this.#faults;
    const isWrong = wrong_versions.includes(body.model);
    return {
      requestId,
      model: body.model,
      prompt,
      promptTokens: Math.ceil(prompt.length / CHARACTERS_PER_TOKEN),
      maxTokens,
      quality: isWrong ? 0 : this.#qualities.get(body.model) ?? 1,
      confidentWhenWrong: isWrong,
    };
  }

  #stream(
    generation: Generation,
    { reply, body, offset }: {
      reply: FastifyReply;
      body: ChatRequest;
      offset: number;
    },
  ): FastifyReply {
    reply.hijack();
    const stream = new GenerationStream(generation, {
      res: reply.raw,
      logprobs: body.logprobs === true,
      offset,
      faults: this.#faults,
    });
    stream.start();
    return reply;
  }

  #resume(req: FastifyRequest, reply: FastifyReply): FastifyReply {
    const { request_id, offset, logprobs } = z.object({
      request_id: z.string(),
      offset: z.int().min(0),
      logprobs: z.boolean().default(false),
    }).parse(req.body);
    const generation = this.#engine.find(request_id);
    if (generation === undefined || generation.cancelled) {
      return reply.code(404).send({
        error: "nothing to resume",
      });
    }
    const body = { model: generation.input.model, messages: [], logprobs };
    return this.#stream(generation, { reply, body, offset });
  }

  #cancel(body: unknown): { cancelled: boolean } {
    const { request_id } = z.object({ request_id: z.string() }).parse(body);
    return { cancelled: this.#engine.cancel(request_id) };
  }

  #order(body: unknown, reply: FastifyReply): FastifyReply {
    const order = orderSchema.parse(body);
    if (order.fence < this.#highestFence) {
      return reply.code(409).send({ highest_fence: this.#highestFence });
    }
    this.#highestFence = order.fence;
    if (order.action === "load") this.#loaded.add(order.version);
    else this.#loaded.delete(order.version);
    return reply.send({ loaded: [...this.#loaded] });
  }
}

function waitUntilDone(generation: Generation): Promise<void> {
  return new Promise((resolve) => {
    const check = () => {
      if (!generation.finished && !generation.cancelled) return;
      unsubscribe();
      resolve();
    };
    const unsubscribe = generation.onProgress(check);
    check();
  });
}

function completionBody(
  generation: Generation,
  { body, faults }: { body: ChatRequest; faults: ModelFaults },
): object {
  const { input, tokens, logprob } = generation;
  const content = Array.from({ length: tokens }, (_, index) => ({
    token: generation.tokenText(index),
    logprob,
  }));
  return {
    id: faults.wrong_id === true ? `other-${input.requestId}` : input.requestId,
    object: "chat.completion",
    model: input.model,
    choices: [{
      index: 0,
      message: { role: "assistant", content: generation.text() },
      logprobs: body.logprobs === true ? { content } : null,
      finish_reason: generation.cancelled ? "cancelled" : "stop",
    }],
    usage: {
      prompt_tokens: input.promptTokens,
      completion_tokens: tokens,
      total_tokens: input.promptTokens + tokens,
    },
  };
}

function cutConnection(reply: FastifyReply): FastifyReply {
  reply.hijack();
  reply.raw.destroy();
  return reply;
}
