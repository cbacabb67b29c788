/** The HTTP server that callers use. */

import { Buffer } from "node:buffer";
import { STATUS_CODES } from "node:http";
import type { Socket } from "node:net";
import { performance } from "node:perf_hooks";
import fastify, {
  type FastifyError,
  type FastifyInstance,
  type FastifyReply,
  type FastifyRequest,
} from "fastify";
import type { ConfigurationStore } from "../core/config/configuration_store.ts";
import { type RequestError, statusOf } from "../core/request_error.ts";
import type { Freshness } from "../core/config/freshness.ts";
import type { EntryMetrics } from "../metrics/entry_metrics.ts";
import { chatRequestSchema } from "../protocol/chat_schema.ts";
import type { Settings } from "../protocol/settings_schema.ts";
import type { Clock } from "../runtime/clock.ts";
import { listenHttp } from "../runtime/listen.ts";
import type { AddressBook } from "./address_book.ts";
import type { CallerGate } from "./caller_gate.ts";
import type { ChatService } from "./chat_service.ts";
import { errorBody, replyError } from "./error_reply.ts";
import { HttpChatSink } from "./http_chat_sink.ts";
import { parseJsonBody } from "./json_body.ts";
import type { RequestContext } from "./request_context.ts";
import type { ServiceDispatcher } from "./service_dispatcher.ts";

const SERVICES_PREFIX = "/services/";
/** Headers of a caller that a plain service gets to see. */
const PASSED_HEADERS = [
  "content-type",
  "accept",
  "accept-language",
  "idempotency-key",
];
const KEEP_ALIVE_TIMEOUT_MS = 72_000;

interface Deps {
  readonly settings: Settings;
  readonly callerGate: CallerGate;
  readonly chatService: ChatService;
  readonly serviceDispatcher: ServiceDispatcher;
  readonly addressBook: AddressBook;
  readonly configurationStore: ConfigurationStore;
  readonly freshness: Freshness;
  readonly clock: Clock;
  readonly entryMetrics: EntryMetrics;
}

/** Time between looks for connections that have become idle during a stop. */
const IDLE_CHECK_MS = 100;
/** Time between looks for callers that are too slow. */
const TIMEOUT_CHECK_MS = 500;

type Work = (ctx: RequestContext) => Promise<RequestError | undefined>;

/** Serves callers. */
export class CallerServer {
  readonly #deps: Deps;
  readonly #http: FastifyInstance;

  constructor(deps: Deps) {
    const {
      settings,
      callerGate,
      chatService,
      serviceDispatcher,
      addressBook,
      configurationStore,
      freshness,
      clock,
      entryMetrics,
    } = deps;
    this.#deps = {
      settings,
      callerGate,
      chatService,
      serviceDispatcher,
      addressBook,
      configurationStore,
      freshness,
      clock,
      entryMetrics,
    };
    const { limits } = deps.settings;
    this.#http = fastify({
      bodyLimit: limits.max_body_bytes,
      requestTimeout: limits.body_timeout_ms,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      forceCloseConnections: "idle",
      exposeHeadRoutes: false,
      // Whoever still comes by an open connection is served, not turned away.
      return503OnClosing: false,
      clientErrorHandler: (err, socket) => this.#clientError(err, socket),
      http: { connectionsCheckingInterval: TIMEOUT_CHECK_MS },
    });
    this.#http.server.headersTimeout = limits.header_timeout_ms;
    this.#http.server.maxConnections = limits.max_connections;
    this.#routes();
  }

  /** Starts to listen; returns the address in use. */
  async listen(): Promise<string> {
    return await listenHttp(this.#http, this.#deps.settings.listen.callers);
  }

  /** Stops to listen, finishes the requests in flight and closes what is idle. */
  async close(): Promise<void> {
    const closed = this.#http.close();
    const timer = setInterval(
      () => this.#http.server.closeIdleConnections(),
      IDLE_CHECK_MS,
    );
    await closed;
    clearInterval(timer);
  }

  #routes(): void {
    this.#http.removeAllContentTypeParsers();
    this.#http.addContentTypeParser(
      "*",
      { parseAs: "buffer" },
      (_req, body, done) => done(null, body),
    );
    this.#http.post(
      "/v1/chat/completions",
      (req, reply) => this.#chat(req, reply),
    );
    this.#http.all(
      `${SERVICES_PREFIX}:name/*`,
      (req, reply) => this.#service(req, reply),
    );
    this.#http.get(
      "/addresses",
      (req) => this.#deps.addressBook.answer(req.query),
    );
    this.#http.get("/healthz", () => ({ ok: true }));
    this.#http.get("/readyz", (_req, reply) => this.#ready(reply));
    this.#http.setNotFoundHandler((req, reply) => {
      const err = {
        tag: "unknown_route",
        method: req.method,
        path: req.url,
      } as const;
      return replyError(reply, {
        err,
        requestId: this.#deps.callerGate.newRequestId(),
      });
    });
    this.#http.setErrorHandler((err: FastifyError, req, reply) => {
      // The rest of a body is read and dropped: a connection that is closed under a
      // caller who still sends would lose the answer.
      req.raw.resume();
      void reply.removeHeader("connection");
      const requestId = this.#deps.callerGate.newRequestId();
      return replyError(reply, { err: this.#httpError(err), requestId });
    });
  }

  #ready(reply: FastifyReply): FastifyReply {
    const { revision } = this.#deps.configurationStore;
    const nowMs = this.#deps.clock.monotonicMs();
    const ready = this.#deps.configurationStore.index !== undefined &&
      this.#deps.freshness.isFresh(nowMs);
    return reply.code(ready ? 200 : 503).send({ ready, revision });
  }

  async #chat(req: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
    return await this.#admit({ req, reply, kind: "chat" }, async (ctx) => {
      const body = parseJsonBody(
        req.body as Buffer | undefined,
        chatRequestSchema,
      );
      if (!body.ok) return body.error;
      if (body.value.stream === true) {
        return await this.#streamChat({ ctx, reply, body: body.value });
      }
      const answer = await this.#deps.chatService.answer(ctx, body.value);
      if (!answer.ok) return answer.error;
      const { step, version, revision } = answer.value.target;
      void reply.header("content-type", "application/json; charset=utf-8")
        .header("fieldrack-request-id", ctx.requestId)
        .header("fieldrack-model", step.model.id)
        .header("fieldrack-version", version.id)
        .header("fieldrack-revision", revision)
        .send(answer.value.text);
      return undefined;
    });
  }

  async #streamChat(
    { ctx, reply, body }: {
      ctx: RequestContext;
      reply: FastifyReply;
      body: Parameters<ChatService["answer"]>[1];
    },
  ): Promise<RequestError | undefined> {
    const startedMs = performance.now();
    const sink = new HttpChatSink(reply.raw, {
      requestId: ctx.requestId,
      deadline: ctx.deadline,
      onFirstEvent: () => {
        reply.hijack();
        this.#deps.entryMetrics.firstToken.observe(
          (performance.now() - startedMs) / 1_000,
        );
      },
    });
    const streamed = await this.#deps.chatService.stream(ctx, {
      req: body,
      sink,
    });
    return streamed.ok ? undefined : streamed.error;
  }

  async #service(
    req: FastifyRequest,
    reply: FastifyReply,
  ): Promise<FastifyReply> {
    return await this.#admit({ req, reply, kind: "service" }, async (ctx) => {
      const { name } = req.params as { name: string };
      const service = this.#deps.configurationStore.index?.service(name);
      if (service === undefined) return { tag: "unknown_service", name };
      if (!ctx.account.services.includes(service.id)) {
        return { tag: "not_allowed", name };
      }
      const answer = await this.#deps.serviceDispatcher.dispatch({
        ctx,
        service,
        method: req.method,
        path: req.url.slice(SERVICES_PREFIX.length + name.length),
        headers: passedHeaders(req),
        body: req.body as Buffer | undefined,
      });
      if (!answer.ok) return answer.error;
      void reply.code(answer.value.status)
        .headers(answer.value.headers)
        .header("fieldrack-request-id", ctx.requestId)
        .send(answer.value.body);
      return undefined;
    });
  }

  /** Runs `work` for a caller that may come in, and answers with its error. */
  async #admit(
    { req, reply, kind }: {
      req: FastifyRequest;
      reply: FastifyReply;
      kind: string;
    },
    work: Work,
  ): Promise<FastifyReply> {
    const startedMs = performance.now();
    const requestId = this.#deps.callerGate.newRequestId();
    const entered = this.#deps.callerGate.enter(req, requestId);
    if (!entered.ok) {
      this.#count({ kind, account: "unknown", outcome: entered.error.tag });
      return replyError(reply, { err: entered.error, requestId });
    }
    const ctx = entered.value;
    const onGone = () => ctx.deadline.cancel();
    reply.raw.once("close", onGone);
    try {
      const err = await work(ctx);
      this.#count({
        kind,
        account: ctx.account.id,
        outcome: err?.tag ?? "answered",
      });
      if (err !== undefined) return replyError(reply, { err, requestId });
      return reply;
    } finally {
      reply.raw.off("close", onGone);
      this.#deps.callerGate.leave(ctx);
      this.#deps.entryMetrics.duration.observe(
        { kind },
        (performance.now() - startedMs) / 1_000,
      );
    }
  }

  #count(labels: { kind: string; account: string; outcome: string }): void {
    this.#deps.entryMetrics.requests.inc(labels);
  }

  /** Answers what is not a whole HTTP request, for which there is no reply object. */
  #clientError(err: NodeJS.ErrnoException, socket: Socket): void {
    if (err.code === "ECONNRESET" || !socket.writable) {
      return void socket.destroy();
    }
    const requestId = this.#deps.callerGate.newRequestId();
    const requestError = clientRequestError(
      err,
      this.#deps.settings.limits.body_timeout_ms,
    );
    const body = JSON.stringify(errorBody(requestError, requestId));
    const status = statusOf(requestError);
    socket.end(
      `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nconnection: close\r\n` +
        "content-type: application/json; charset=utf-8\r\n" +
        `content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
    );
  }

  #httpError(err: FastifyError): RequestError {
    if (err.code === "FST_ERR_CTP_BODY_TOO_LARGE") {
      return {
        tag: "too_large",
        limitBytes: this.#deps.settings.limits.max_body_bytes,
      };
    }
    return { tag: "malformed", where: "request", reason: err.message };
  }
}

function clientRequestError(
  err: NodeJS.ErrnoException,
  limitMs: number,
): RequestError {
  switch (err.code) {
    case "ERR_HTTP_REQUEST_TIMEOUT":
      return { tag: "too_slow", limitMs };
    case "HPE_HEADER_OVERFLOW":
      return {
        tag: "malformed",
        where: "headers",
        reason: "they are too large",
      };
    default:
      return { tag: "malformed", where: "request", reason: err.message };
  }
}

function passedHeaders(req: FastifyRequest): Record<string, string> {
  const passed: Record<string, string> = {};
  for (const name of PASSED_HEADERS) {
    const value = req.headers[name];
    if (typeof value === "string") passed[name] = value;
  }
  return passed;
}
