/** HTTP server for requests of callers to the configured routes. */

import type { IncomingMessage, ServerResponse } from "node:http";
import fastify, { type FastifyInstance } from "fastify";
import type { Refusal } from "../core/refusal.ts";
import type { CallerLimits } from "../core/routes/route.ts";
import type { UnreadResponses } from "../core/limits/unread_responses.ts";
import { memoryShare, socketShare } from "../core/limits/vm_shares.ts";
import type { VmSettings } from "../platform/vm_settings_wire.ts";
import type { Clock } from "../runtime/clock.ts";
import { ConnectionGuard } from "../runtime/connection_guard.ts";
import { listenHttp } from "../runtime/listen.ts";
import { nextTurn } from "../runtime/next_turn.ts";
import { RepeatedTask } from "../runtime/repeated_task.ts";
import type { Logger } from "../runtime/logger.ts";
import type { RoutingFollower } from "../store/routing_follower.ts";
import { CallerExchange } from "./caller_exchange.ts";
import type { ClosedConnections } from "./closed_connections.ts";
import type { RequestAdmission } from "./request_admission.ts";
import type { RequestLog } from "./request_log.ts";
import type { RequestMemory } from "./request_memory.ts";
import { RequestRun, type RequestRunDeps } from "./request_run.ts";
import type { StopState } from "./stop_state.ts";

/** Limits until the first configuration is applied; the same as in the users' example. */
const INITIAL_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
/** Upper limit of the HTTP parser, which is fixed at start and independent of the configuration. */
const MAX_PARSED_HEADER_BYTES = 65_536;
/**
 * Idle connections stay open longer than the keep-alive timeout advertised to callers, so that no
 * request is sent while this VM closes the connection.
 */
const KEEP_ALIVE_SLACK_MS = 2_000;
/** Interval of checks for unresponsive servers; a fraction of the shortest stall timeout. */
const STALL_CHECK_INTERVAL_MS = 100;
/** Interval of checks for callers that send too slowly. */
const SLOW_CALLER_CHECK_INTERVAL_MS = 500;

/** Refusals for reasons of this VM, which do not apply at others. */
const OWN_REFUSALS: ReadonlySet<Refusal["tag"]> = new Set([
  "no_configuration",
  "unconfirmed_keys",
  "bodies_full",
]);

interface Deps extends RequestRunDeps {
  readonly requestAdmission: RequestAdmission;
  readonly requestLog: RequestLog;
  readonly requestMemory: RequestMemory;
  readonly routingFollower: RoutingFollower;
  readonly stopState: StopState;
  readonly vmSettings: VmSettings;
  readonly unreadResponses: UnreadResponses;
  readonly closedConnections: ClosedConnections;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Accepts, admits and runs requests. */
export class RequestServer {
  readonly #deps: Deps;
  readonly #http: FastifyInstance;
  #limits = INITIAL_LIMITS;
  readonly #exchanges = new Set<CallerExchange>();
  readonly #runs = new Set<RequestRun>();
  readonly #stallChecks = new RepeatedTask({
    intervalMs: STALL_CHECK_INTERVAL_MS,
    run: () => this.#checkRuns(),
  });

  readonly #bodyChecks = new RepeatedTask({
    intervalMs: SLOW_CALLER_CHECK_INTERVAL_MS,
    run: () => this.#checkBodies(),
  });

  constructor(deps: Deps) {
    this.#deps = deps;
    this.#http = fastify({
      // Paths are forwarded unchanged, even those that Fastify's router would reject.
      rewriteUrl: () => "/",
      return503OnClosing: false,
      forceCloseConnections: "idle",
      http: {
        maxHeaderSize: MAX_PARSED_HEADER_BYTES,
        connectionsCheckingInterval: SLOW_CALLER_CHECK_INTERVAL_MS,
      },
    });
    new ConnectionGuard(this.#http.server, {
      maxConnections: socketShare(deps.vmSettings, "caller_connections"),
      maxBytesAhead: memoryShare(deps.vmSettings, "bytes_ahead"),
      onClosed: deps.closedConnections.listener("callers"),
    });
    this.#http.removeAllContentTypeParsers();
    this.#http.addContentTypeParser("*", (_req, _body, done) => done(null));
    this.#http.all("/", (req, reply) => {
      reply.hijack();
      void this.#handle(req.raw, { res: reply.raw, url: req.originalUrl });
    });
    this.setLimits(INITIAL_LIMITS);
  }

  /** Number of requests that have no complete response yet. */
  get inFlight(): number {
    return this.#exchanges.size;
  }

  /** Stops listening and answers all requests that are in flight, as this process exits. */
  endAll(): void {
    this.#http.server.close();
    for (const run of this.#runs) run.endForStop();
    for (const exchange of this.#exchanges) {
      // Without a run, the request was not read completely.
      if (exchange.isFinished) continue;
      exchange.refuse({ tag: "stopping" });
      this.#deps.requestLog.recordRefusal(exchange, { tag: "stopping" });
    }
  }

  /** Serves a request that another VM forwards for its caller. */
  handleForwarded(req: IncomingMessage, res: ServerResponse): Promise<void> {
    return this.#handle(req, { res, url: req.url ?? "", isForwarded: true });
  }

  /** Starts listening; returns the bound address. */
  listen(address: string): Promise<string> {
    this.#bodyChecks.start();
    return listenHttp(this.#http, address);
  }

  /** Applies the caller limits of a configuration. */
  setLimits(limits: CallerLimits): void {
    this.#limits = limits;
    const { server } = this.#http;
    server.headersTimeout = limits.headerTimeoutMs;
    server.requestTimeout = 0;
    server.keepAliveTimeout = limits.idleTimeoutMs + KEEP_ALIVE_SLACK_MS;
  }

  /** Stops listening and closes idle connections. */
  async close(): Promise<void> {
    this.#stallChecks.stop();
    this.#bodyChecks.stop();
    await this.#http.close();
  }

  async #checkRuns(): Promise<void> {
    // After a pause of this process, timers run before bytes that have arrived meanwhile are read.
    await nextTurn();
    const nowMs = this.#deps.clock.monotonicMs();
    for (const run of this.#runs) run.check(nowMs);
  }

  #checkBodies(): Promise<void> {
    const nowMs = this.#deps.clock.monotonicMs();
    const { idleTimeoutMs } = this.#limits;
    for (const exchange of this.#exchanges) {
      exchange.checkBody(nowMs, idleTimeoutMs);
    }
    return Promise.resolve();
  }

  async #handle(
    req: IncomingMessage,
    { res, url, isForwarded = false }: {
      res: ServerResponse;
      url: string;
      isForwarded?: boolean;
    },
  ): Promise<void> {
    const { clock, stopState, unreadResponses, logger } = this.#deps;
    const closing = () => stopState.stopping;
    const exchange = new CallerExchange({
      req,
      res,
      url,
      clock,
      closing,
      unreadResponses,
      isForwarded,
    });
    this.#exchanges.add(exchange);
    try {
      await this.#serve(exchange, { isForwarded });
    } catch (err) {
      logger.warn("Request failed with an internal error", {
        attempt: exchange.head.attempt,
        error: (err as Error).stack,
      });
      exchange.cut();
    } finally {
      this.#exchanges.delete(exchange);
      exchange.releaseBody();
    }
  }

  /** Returns why another VM should serve a forwarded request; undefined if this one may. */
  #declineReason(
    { origin }: CallerExchange,
    refusal: Refusal | undefined,
  ): string | undefined {
    const { stopState, routingFollower } = this.#deps;
    if (origin === undefined) return "invalid origin";
    if (stopState.stopping) return "stopping";
    if (refusal !== undefined && OWN_REFUSALS.has(refusal.tag)) {
      return refusal.tag;
    }
    const version = routingFollower.table?.version ?? 0;
    return version < origin.configurationVersion
      ? `configuration ${version} is older than ${origin.configurationVersion}`
      : undefined;
  }

  async #serve(
    exchange: CallerExchange,
    { isForwarded }: { isForwarded: boolean },
  ): Promise<void> {
    const { requestAdmission, requestLog, requestMemory } = this.#deps;
    const body = await exchange.readBody({
      limitBytes: this.#limits.maxBodyBytes,
      memory: requestMemory,
    });
    if (body.ok) await exchange.detectDisconnect();
    const admitted = requestAdmission.admit(exchange);
    const err = !body.ok
      ? body.error
      : admitted.ok
      ? undefined
      : admitted.error;
    const declined = isForwarded
      ? this.#declineReason(exchange, err)
      : undefined;
    if (declined !== undefined) {
      requestLog.recordDeclined(exchange, declined);
      exchange.decline(declined);
      return;
    }
    if (err !== undefined || !body.ok || !admitted.ok) {
      if (err === undefined) return;
      exchange.refuse(err);
      requestLog.recordRefusal(exchange, err);
      return;
    }
    const run = new RequestRun(this.#deps, {
      exchange,
      admitted: admitted.value,
      body: body.value,
    });
    this.#runs.add(run);
    this.#stallChecks.start();
    try {
      await run.run();
    } finally {
      this.#runs.delete(run);
      if (this.#runs.size === 0) this.#stallChecks.stop();
    }
    requestLog.recordEnd(exchange, run.summary());
  }
}
