/** HTTP server for callers. */

import { Buffer } from "node:buffer";
import fastify, {
  type FastifyError,
  type FastifyInstance,
  type FastifyReply,
  type FastifyRequest,
} from "fastify";
import type { ConfigurationStore } from "../core/config/configuration_store.ts";
import type { Freshness } from "../core/config/freshness.ts";
import { UnreadResponses } from "../core/limits/unread_responses.ts";
import type { RequestError } from "../core/request_error.ts";
import type { Settings } from "../protocol/settings_schema.ts";
import type { Clock } from "../runtime/clock.ts";
import { ConnectionGuard } from "../runtime/connection_guard.ts";
import { listenHttp } from "../runtime/listen.ts";
import type { AddressBook } from "./address_book.ts";
import type { AdmissionController } from "./admission_controller.ts";
import type { ChatEndpoint } from "./chat_endpoint.ts";
import { BodyParser, BodyRefusedError } from "./body_parser.ts";
import { answerClientError } from "./client_error.ts";
import { replyError } from "./error_reply.ts";
import { type ServiceEndpoint, SERVICES_PREFIX } from "./service_endpoint.ts";

const KEEP_ALIVE_TIMEOUT_MS = 72_000;
/** Interval of closing connections that have become idle during a stop. */
const IDLE_CHECK_INTERVAL_MS = 100;
/** Interval of checking for requests that exceed the header or body timeout. */
const TIMEOUT_CHECK_INTERVAL_MS = 500;

interface Deps {
  readonly settings: Settings;
  readonly admissionController: AdmissionController;
  readonly chatEndpoint: ChatEndpoint;
  readonly serviceEndpoint: ServiceEndpoint;
  readonly addressBook: AddressBook;
  readonly configurationStore: ConfigurationStore;
  readonly freshness: Freshness;
  readonly clock: Clock;
}

/** Serves chat, plain services, addresses and health checks to callers. */
export class CallerServer {
  readonly #deps: Deps;
  readonly #http: FastifyInstance;
  readonly #bodies: BodyParser;
  readonly #unread: UnreadResponses;

  constructor(deps: Deps) {
    this.#deps = deps;
    this.#bodies = new BodyParser(deps.settings.limits, deps.clock);
    this.#unread = new UnreadResponses(deps.settings.limits.max_unread_bytes);
    this.#http = this.#createHttp();
    this.#addRoutes();
    this.#addErrorAnswers();
  }

  /** Starts listening; returns the bound address. */
  async listen(): Promise<string> {
    return await listenHttp(this.#http, this.#deps.settings.listen.callers);
  }

  /** Stops listening, finishes the requests in flight and closes idle connections. */
  async close(): Promise<void> {
    const closed = this.#http.close();
    const timer = setInterval(
      () => this.#http.server.closeIdleConnections(),
      IDLE_CHECK_INTERVAL_MS,
    );
    await closed;
    clearInterval(timer);
  }

  #createHttp(): FastifyInstance {
    const { limits } = this.#deps.settings;
    const http = fastify({
      bodyLimit: limits.max_body_bytes,
      requestTimeout: limits.body_timeout_ms,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      forceCloseConnections: "idle",
      exposeHeadRoutes: false,
      // Requests on connections that are still open are served during a stop.
      return503OnClosing: false,
      clientErrorHandler: (err, socket) =>
        answerClientError(socket, {
          err,
          requestId: this.#deps.admissionController.newRequestId(),
          limitMs: limits.body_timeout_ms,
        }),
      http: { connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS },
    });
    http.server.headersTimeout = limits.header_timeout_ms;
    new ConnectionGuard(http.server, {
      maxConnections: limits.max_connections,
      maxBytesAhead: limits.max_bytes_ahead,
    });
    http.addHook("onSend", (_req, reply, payload, done) => {
      this.#recordUnread(reply, payload);
      done(null, payload);
    });
    http.addHook("onResponse", (req, _reply, done) => {
      this.#bodies.release(req);
      done();
    });
    // The endpoints parse bodies, because their errors name the invalid field.
    http.removeAllContentTypeParsers();
    http.addContentTypeParser(
      "*",
      (req: FastifyRequest) => this.#bodies.read(req),
    );
    return http;
  }

  /** Counts a response until its caller has read it or has disconnected. */
  #recordUnread(reply: FastifyReply, payload: unknown): void {
    const { raw } = reply;
    if (raw.closed) return;
    const unread = this.#unread.open(() => raw.destroy());
    raw.once("close", () => unread.setBytes(0));
    const isWhole = typeof payload === "string" || Buffer.isBuffer(payload);
    unread.setBytes(
      isWhole
        ? Buffer.byteLength(payload)
        : Number(reply.getHeader("content-length") ?? 0),
    );
  }

  #addRoutes(): void {
    const { chatEndpoint, serviceEndpoint, addressBook } = this.#deps;
    this.#http.post(
      "/v1/chat/completions",
      (req, reply) => chatEndpoint.handle(req, reply),
    );
    this.#http.all(
      `${SERVICES_PREFIX}:name/*`,
      (req, reply) => serviceEndpoint.handle(req, reply),
    );
    this.#http.get("/addresses", (req) => addressBook.list(req.query));
    this.#http.get("/healthz", () => ({ ok: true }));
    this.#http.get("/readyz", (_req, reply) => this.#ready(reply));
  }

  #addErrorAnswers(): void {
    this.#http.setNotFoundHandler((req, reply) => {
      const { method, url: path } = req;
      return this.#replyError(reply, { tag: "unknown_route", method, path });
    });
    this.#http.setErrorHandler((err: FastifyError, req, reply) => {
      // The rest of the body is not read; the guard of the connection drops it.
      if (!req.raw.complete) void reply.header("connection", "close");
      return this.#replyError(reply, this.#toRequestError(err));
    });
  }

  #replyError(reply: FastifyReply, err: RequestError): FastifyReply {
    return replyError(reply, {
      err,
      requestId: this.#deps.admissionController.newRequestId(),
    });
  }

  #toRequestError(err: FastifyError | BodyRefusedError): RequestError {
    if (err instanceof BodyRefusedError) return err.requestError;
    return { tag: "malformed", where: "request", reason: err.message };
  }

  #ready(reply: FastifyReply): FastifyReply {
    const { configurationStore, freshness, clock } = this.#deps;
    const { revision, index } = configurationStore;
    const ready = index !== undefined && freshness.isFresh(clock.monotonicMs());
    return reply.code(ready ? 200 : 503).send({ ready, revision });
  }
}
