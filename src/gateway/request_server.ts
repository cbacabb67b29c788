/** The HTTP server for callers' requests on declared routes. */

import type { IncomingMessage, ServerResponse } from "node:http";
import fastify, { type FastifyInstance } from "fastify";
import type { CallerLimits } from "../core/routes/route.ts";
import type { Clock } from "../runtime/clock.ts";
import { listenHttp } from "../runtime/listen.ts";
import { RepeatedTask } from "../runtime/repeated_task.ts";
import type { Logger } from "../runtime/logger.ts";
import { CallerExchange } from "./caller_exchange.ts";
import type { RequestAdmission } from "./request_admission.ts";
import type { RequestLog } from "./request_log.ts";
import { RequestRun, type RequestRunDeps } from "./request_run.ts";
import type { StopState } from "./stop_state.ts";

/** Until a configuration says otherwise; the users' example has these. */
const FIRST_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
/** Headers are read up to this size, whatever the configuration says later. */
const PARSER_HEADER_BYTES = 65_536;
/**
 * Idle connections are kept somewhat longer than callers are told, so that a request
 * does not cross our close.
 */
const IDLE_SLACK_MS = 2_000;
/** Time between looks for silent servers; a part of the shortest patience with them. */
const LOOK_MS = 100;
/** Time between looks for callers that are too slow. */
const TIMEOUT_CHECK_MS = 500;

interface Deps extends RequestRunDeps {
  readonly requestAdmission: RequestAdmission;
  readonly requestLog: RequestLog;
  readonly stopState: StopState;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Takes requests and runs them. */
export class RequestServer {
  readonly #deps: Deps;
  readonly #http: FastifyInstance;
  #limits = FIRST_LIMITS;
  readonly #runs = new Set<RequestRun>();
  readonly #looks = new RepeatedTask({
    intervalMs: LOOK_MS,
    run: () => this.#look(),
  });
  #inFlight = 0;

  constructor(deps: Deps) {
    this.#deps = deps;
    this.#http = fastify({
      // Paths go on unchanged, also those that a router would not take.
      rewriteUrl: () => "/",
      return503OnClosing: false,
      forceCloseConnections: "idle",
      http: {
        maxHeaderSize: PARSER_HEADER_BYTES,
        connectionsCheckingInterval: TIMEOUT_CHECK_MS,
      },
    });
    this.#http.removeAllContentTypeParsers();
    this.#http.addContentTypeParser("*", (_req, _body, done) => done(null));
    this.#http.all("/", (req, reply) => {
      reply.hijack();
      void this.#handle(req.raw, { res: reply.raw, url: req.originalUrl });
    });
    this.setLimits(FIRST_LIMITS);
  }

  /** Requests that have no whole answer yet. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Starts to listen; returns the address in use. */
  listen(address: string): Promise<string> {
    return listenHttp(this.#http, address);
  }

  /** Applies the limits of a configuration. */
  setLimits(limits: CallerLimits): void {
    this.#limits = limits;
    const { server } = this.#http;
    server.headersTimeout = limits.headerTimeoutMs;
    server.requestTimeout = 0;
    server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_SLACK_MS;
  }

  /** Stops to listen and closes what is idle. */
  async close(): Promise<void> {
    this.#looks.stop();
    await this.#http.close();
  }

  #look(): Promise<void> {
    const nowMs = this.#deps.clock.monotonicMs();
    for (const run of this.#runs) run.check(nowMs);
    return Promise.resolve();
  }

  async #handle(
    req: IncomingMessage,
    { res, url }: { res: ServerResponse; url: string },
  ): Promise<void> {
    this.#inFlight += 1;
    const { clock, stopState, logger } = this.#deps;
    const closing = () => stopState.stopping;
    const exchange = new CallerExchange({ req, res, url, clock, closing });
    try {
      await this.#serve(exchange);
    } catch (err) {
      logger.warn("Request failed inside", {
        attempt: exchange.head.attempt,
        error: (err as Error).stack,
      });
      exchange.cut();
    } finally {
      this.#inFlight -= 1;
    }
  }

  async #serve(exchange: CallerExchange): Promise<void> {
    const { requestAdmission, requestLog, stopState } = this.#deps;
    const body = await exchange.readBody(this.#limits.maxBodyBytes);
    if (body.ok) await exchange.detectDisconnect();
    const refusal = stopState.refusal(exchange.head);
    const admitted = requestAdmission.admit(exchange);
    const err = !body.ok
      ? body.error
      : refusal ?? (admitted.ok ? undefined : admitted.error);
    if (err !== undefined || !body.ok || !admitted.ok) {
      if (err === undefined) return;
      exchange.refuse(err);
      requestLog.refused(exchange, err);
      return;
    }
    const run = new RequestRun(this.#deps, {
      exchange,
      admitted: admitted.value,
      body: body.value,
    });
    this.#runs.add(run);
    this.#looks.start();
    try {
      await run.run();
    } finally {
      this.#runs.delete(run);
      if (this.#runs.size === 0) this.#looks.stop();
    }
    requestLog.ended(exchange, run.summary());
  }
}
