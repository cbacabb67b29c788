/** Sends one request to backend servers, one attempt at a time, and records the attempts. */

import type { Buffer } from "node:buffer";
import type { BackendRequest } from "../backends/backend_connection.ts";
import type { BackendConnectionPool } from "../backends/backend_connection_pool.ts";
import {
  BackendAttempt,
  type BackendAttemptOutcome,
  type HeadDecision,
  isNotRun,
  type ResponseHead,
} from "../backends/backend_attempt.ts";
import type { InstanceId, ModelId, ServiceId } from "../core/ids.ts";
import { mayRunMoreThanOnce } from "../core/routes/route.ts";
import type { ServerLoads } from "../core/servers/server_loads.ts";
import type { ServerRecord } from "../core/servers/server_record.ts";
import type { StallReason } from "../core/servers/server_stall_detector.ts";
import type { PermitBorrower } from "../fleet/permit_borrower.ts";
import { encodeBackendRequestHeaders } from "../platform/header_wire.ts";
import type { Clock } from "../runtime/clock.ts";
import type { AttemptAcks } from "./attempt_acks.ts";
import type { DispatchRecord } from "./dispatch_record.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import type { ModelCascade } from "./model_cascade.ts";
import type { AdmittedRequest } from "./request_admission.ts";
import type { ReachabilityMonitor } from "./reachability_monitor.ts";
import type { ResponseEndCheck } from "./response_end_check.ts";
import type { RetryPermit } from "./retry_permit.ts";
import type { ServerAdmission } from "./server_admission.ts";
import type { ServerNoticeHandler } from "./server_notice_handler.ts";
import type { SelectionCriteria, ServerSelector } from "./server_selector.ts";
import type { SuspectPlacement } from "./suspect_placement.ts";
import type { StreamRelay } from "./stream_relay.ts";
import type { AttemptObserver, ObservedAttempt } from "./attempt_observer.ts";
import {
  type AttemptRecord,
  completeAttemptRecord,
  createAttemptRecord,
} from "./attempt_record.ts";
import type { AttemptStallDetector } from "./attempt_stall_detector.ts";
import type { PredictedWork, WorkPredictor } from "./work_predictor.ts";

/** Least urgent priority class that backend servers accept. */
const LOWEST_URGENCY = 9;
/** Responses with this status or a higher one count as failures of the server. */
const FIRST_FAILURE_STATUS = 500;
/** Round trips to backend servers take a few milliseconds. */
const SLOW_CONNECT_MS = 100;
/** Status of a server that has no room for a request. */
const FULL_STATUS = 503;
const NO_INSTANCES: ReadonlySet<InstanceId> = new Set();
const NO_ADDRESSES: ReadonlySet<string> = new Set();

/** Dependencies shared by all senders. */
export interface AttemptSenderDeps {
  readonly serverSelector: ServerSelector;
  readonly serverAdmission: ServerAdmission;
  readonly permitBorrower: PermitBorrower;
  readonly suspectPlacement: SuspectPlacement;
  readonly backendConnectionPool: BackendConnectionPool;
  readonly attemptObserver: AttemptObserver;
  readonly attemptStallDetector: AttemptStallDetector;
  readonly responseEndCheck: ResponseEndCheck;
  readonly attemptAcks: AttemptAcks;
  readonly serverNoticeHandler: ServerNoticeHandler;
  readonly serverLoads: ServerLoads;
  readonly workPredictor: WorkPredictor;
  readonly reachabilityMonitor: Pick<
    ReachabilityMonitor,
    "recordContact" | "suspect"
  >;
  readonly clock: Clock;
}

const OVERLONG_EVENT = "event of the stream is too long";

/** The request as it is shared by all its attempts. */
export interface OutgoingRequest {
  readonly exchange: CallerExchange;
  readonly body: Buffer | undefined;
  readonly service: ServiceId;
  readonly models: ModelCascade;
  readonly stream: StreamRelay;
  readonly dispatches: DispatchRecord;
}

/** Constraints on the choice of the next server. */
export interface ServerChoiceOptions {
  /** Whether a server that was already tried may be chosen again. */
  readonly allowTried: boolean;
  /** Whether to avoid servers that run other requests suspected of crashing servers. */
  readonly isolate: boolean;
  /** Addresses of servers that crashed under the request or its prompt parts. */
  readonly crashed: ReadonlySet<string>;
}

/** A part of the criteria by which one server is chosen. */
type ServerCriteria = Pick<SelectionCriteria, "tried" | "model" | "avoided">;

/** Options of a single attempt. */
export interface AttemptOptions {
  readonly admitted: AdmittedRequest;
  /** Time until the request expires, in milliseconds. */
  readonly remainingMs: number;
  /** Decides by its head how a response is handled. */
  readonly onHead: (head: ResponseHead) => HeadDecision;
  /** Whether other requests suspected of crashing servers avoid this server meanwhile. */
  readonly isolate: boolean;
  /** Permit that a retry consumes when its first byte is written. */
  readonly permit: RetryPermit;
  /** Whether a server may have received the request in an earlier attempt. */
  readonly isRetry: boolean;
  /** Whether the request has expired; evaluated when the attempt ends. */
  readonly isExpired: () => boolean;
  /** Whether the request must not be sent any more; evaluated before its first byte. */
  readonly isBarred: () => boolean;
}

/** Makes the attempts of one request. */
export class AttemptSender {
  readonly #deps: AttemptSenderDeps;
  readonly #request: OutgoingRequest;
  readonly #tried = new Set<InstanceId>();
  readonly #attempts: AttemptRecord[] = [];
  #current: BackendAttempt | undefined;
  #isCheckingEnd = false;
  #isLastComplete = false;
  /** Server of the latest attempt. */
  #server: ServerRecord | undefined;

  constructor(deps: AttemptSenderDeps, request: OutgoingRequest) {
    this.#deps = deps;
    this.#request = request;
  }

  /** Attempts made so far, the latest last. */
  get attempts(): readonly AttemptRecord[] {
    return this.#attempts;
  }

  /** Whether a server may have received the request in any attempt. */
  get wasSent(): boolean {
    return this.#attempts.some(({ outcome }) =>
      outcome !== "withheld" && outcome !== "not_sent"
    );
  }

  /** Whether a connection to some server failed. */
  get hasFailedToConnect(): boolean {
    return this.#attempts.some(({ outcome }) => outcome === "not_sent");
  }

  /** Whether the server may have received bytes of the current attempt. */
  get isCurrentSent(): boolean {
    return this.#current?.sent ?? false;
  }

  /** Whether a response has arrived, and the check whether it is whole is still running. */
  get isCheckingEnd(): boolean {
    return this.#isCheckingEnd;
  }

  /** Time since the latest attempt started, in milliseconds. */
  get lastAttemptAgeMs(): number {
    const nowMs = this.#deps.clock.monotonicMs();
    return nowMs - (this.#attempts.at(-1)?.startedMs ?? nowMs);
  }

  /** Whether the latest attempt brought a response that is known to be complete. */
  get isLastComplete(): boolean {
    return this.#isLastComplete;
  }

  /** Whether a byte of the response was received in the latest attempt. */
  get hasFirstByte(): boolean {
    return this.#attempts.at(-1)?.firstByteMs !== undefined;
  }

  /**
   * Returns the server for the next attempt. A server that was already tried is returned only if
   * no other one is available and `allowTried` is set.
   */
  chooseServer(
    admitted: AdmittedRequest,
    options: ServerChoiceOptions,
  ): ServerRecord | undefined {
    const other = this.chooseOtherServer(admitted, options);
    if (other !== undefined || !options.allowTried) return other;
    const { model } = this.#request.models;
    const { crashed: avoided } = options;
    return this.#select(admitted, { tried: NO_INSTANCES, model, avoided });
  }

  /** Like `chooseServer`, but never returns the server of the latest attempt. */
  chooseOtherServer(
    admitted: AdmittedRequest,
    { allowTried, isolate, crashed: avoided }: ServerChoiceOptions,
  ): ServerRecord | undefined {
    const { model } = this.#request.models;
    const untried = this.#select(admitted, {
      tried: this.#tried,
      model,
      avoided,
    });
    if (untried !== undefined) {
      const isolated = isolate
        ? this.#chooseIsolated(admitted, { model, avoided })
        : undefined;
      // A session stays on its release, however few servers that has.
      if (isolated?.release !== untried.release) return untried;
      // A server that has not crashed shows more than one without other suspects.
      const isUseful = !avoided.has(isolated.address) ||
        avoided.has(untried.address);
      return isUseful ? isolated : untried;
    }
    if (!allowTried) return undefined;
    const last = this.#attempts.at(-1)?.server;
    const tried = last === undefined ? NO_INSTANCES : new Set([last]);
    return this.#select(admitted, { tried, model, avoided });
  }

  /** Returns an untried server on which no request runs that is suspected of crashing servers. */
  #chooseIsolated(
    admitted: AdmittedRequest,
    criteria: Omit<ServerCriteria, "tried">,
  ): ServerRecord | undefined {
    const { occupiedServers } = this.#deps.suspectPlacement;
    const tried = new Set([...this.#tried, ...occupiedServers]);
    return this.#select(admitted, { ...criteria, tried });
  }

  /** Whether an untried server is available that is not ejected for failures. */
  hasHealthyServer(
    admitted: AdmittedRequest,
    options: ServerChoiceOptions,
  ): boolean {
    const { serverLoads, clock } = this.#deps;
    const server = this.chooseOtherServer(admitted, {
      ...options,
      allowTried: false,
    });
    return server !== undefined &&
      !serverLoads.isEjected(server.instance, clock.monotonicMs());
  }

  /** Predicted time to first byte of a model on the server that would be chosen for it. */
  predictStartMs(admitted: AdmittedRequest, model: ModelId): number {
    const work = this.#predictWork(admitted, model);
    const server = this.#select(admitted, {
      tried: NO_INSTANCES,
      model,
      avoided: NO_ADDRESSES,
    });
    if (server === undefined) return Infinity;
    const { serverLoads, serverSelector } = this.#deps;
    const { head } = this.#request.exchange;
    const isCached = serverSelector.hasCachedPrompt(server, { head, model });
    return serverLoads.work(server.instance) + work.prefillMs +
      (isCached ? 0 : work.sharedPrefillMs);
  }

  /** Borrows rate limit capacity from another VM; returns whether it was granted. */
  borrowCapacity(
    admitted: AdmittedRequest,
    { allowTried }: ServerChoiceOptions,
  ): Promise<boolean> {
    const { serverSelector, permitBorrower } = this.#deps;
    const { model } = this.#request.models;
    const tried = allowTried ? NO_INSTANCES : this.#tried;
    const selection = this.#selection(admitted, {
      tried,
      model,
      avoided: NO_ADDRESSES,
    });
    return permitBorrower.borrow(
      serverSelector.serversNeedingPermit(selection),
    );
  }

  /**
   * Milliseconds until a server accepts the request; undefined unless all of them are backing off
   * or in slow start.
   */
  opensInMs(admitted: AdmittedRequest): number | undefined {
    const { model } = this.#request.models;
    return this.#deps.serverSelector.availableInMs(
      this.#selection(admitted, {
        tried: NO_INSTANCES,
        model,
        avoided: NO_ADDRESSES,
      }),
    );
  }

  /** Makes servers that were tried eligible again, for example for another model. */
  resetTried(): void {
    this.#tried.clear();
  }

  /** Sends the request to a server; resolves when the attempt has ended. */
  async send(
    server: ServerRecord,
    options: AttemptOptions,
  ): Promise<BackendAttemptOutcome> {
    const {
      backendConnectionPool,
      attemptObserver,
      serverAdmission,
      serverNoticeHandler,
      suspectPlacement,
      attemptAcks,
      reachabilityMonitor,
      responseEndCheck,
    } = this.#deps;
    const { exchange, stream, dispatches } = this.#request;
    const observed = this.#observe(server, options.admitted);
    this.#server = server;
    this.#attempts.push(observed.record);
    this.#tried.add(server.instance);
    const place = serverAdmission.reserve(server);
    if (options.isolate) suspectPlacement.add(server.instance);
    attemptObserver.attemptStarted(observed);
    const dispatch = dispatches.prepare();
    this.#current = new BackendAttempt(backendConnectionPool, {
      server,
      request: this.#backendRequest(server, options),
      attempt: exchange.head.attempt,
      // A reused connection may be closing, which leaves unclear whether the request ran. A
      // request that must not run twice gets a fresh connection.
      fresh: !mayRunMoreThanOnce(options.admitted.route),
      // While the connection was set up, the server may have asked for backoff or a lower rate,
      // or may have started draining.
      maySend: () => {
        const maySend = !options.isBarred() &&
          serverAdmission.maySend(server, place) &&
          this.#consumeRetryPermit(server, options);
        if (maySend) {
          dispatch.begin();
          this.#trackAck(observed, options);
          this.#requestAckIfScarce(server, options);
        }
        return maySend;
      },
      sink: {
        decideByHead: (head) => {
          observed.record.confidence = head.decoded.confidence;
          observed.record.framed = head.decoded.framed;
          attemptObserver.headReceived(observed, head.status);
          serverAdmission.recordAccepted(server, observed.record.startedMs);
          if (head.status < FIRST_FAILURE_STATUS) {
            serverNoticeHandler.handleAnswer(
              server,
              head.notice,
              observed.record.startedMs,
            );
          }
          return options.onHead(head);
        },
        write: (chunk) => {
          const isWritten = stream.write(
            chunk,
            () => this.#resumeReading(observed),
          );
          if (stream.isOverlong) {
            this.abort({ tag: "stream_broken", reason: OVERLONG_EVENT });
          }
          return isWritten;
        },
        onNotice: (notice) => {
          observed.record.limitPerS = notice.limitPerS;
          serverNoticeHandler.handleNotice(server, notice);
        },
        onProgress: (isOwn) => {
          reachabilityMonitor.recordContact(server.service);
          attemptObserver.bytesReceived(observed);
          if (isOwn) attemptAcks.responseReceived(server, observed.record);
        },
        onConnectionLost: () => attemptAcks.connectionClosed(observed.record),
      },
    });
    const ended = await this.#current.run();
    this.#current = undefined;
    if (isNotRun(ended)) dispatch.confirmNotRun();
    this.#isCheckingEnd = true;
    const { outcome, isComplete } = await responseEndCheck.check(ended, {
      server,
      isModelServer: this.isModelServer(options.admitted),
      hasPartialEvent: stream.hasPartialEvent,
    });
    this.#isCheckingEnd = false;
    this.#isLastComplete = isComplete;
    place.release();
    if (outcome.tag === "withheld") this.#tried.delete(server.instance);
    if (options.isolate) suspectPlacement.remove(server.instance);
    if (outcome.tag === "not_run" && outcome.status === FULL_STATUS) {
      serverNoticeHandler.handleRejection(server);
    }
    if (outcome.tag === "not_sent") reachabilityMonitor.suspect(server.service);
    completeAttemptRecord(observed.record, outcome);
    attemptObserver.attemptEnded(observed, {
      outcome,
      expired: options.isExpired(),
    });
    return outcome;
  }

  /** Consumes the retry permit unless the server is unresponsive; first attempts need none. */
  #consumeRetryPermit(
    server: ServerRecord,
    { isRetry, permit }: AttemptOptions,
  ): boolean {
    if (!isRetry) return true;
    return !this.#deps.attemptAcks.isUnresponsive(server) && permit.consume();
  }

  #trackAck(
    { server, record }: ObservedAttempt,
    { permit }: AttemptOptions,
  ): void {
    this.#deps.attemptAcks.attemptSent(server, {
      record,
      listener: {
        onAcked: () => permit.attemptAcked(),
        onSettled: () => permit.attemptSettled(),
      },
    });
  }

  /** Until it is acknowledged, a retry keeps further ones from being sent. */
  #requestAckIfScarce(
    server: ServerRecord,
    { admitted, isRetry, permit }: AttemptOptions,
  ): void {
    if (!isRetry || !permit.budgetState().isAckScarce) return;
    if (!this.isModelServer(admitted)) return;
    const { attemptStallDetector, clock } = this.#deps;
    attemptStallDetector.requestAck(server, clock.monotonicMs());
  }

  /** Whether the servers of the request run models. */
  isModelServer({ table }: AdmittedRequest): boolean {
    return table.service(this.#request.service)?.engine !== undefined;
  }

  /**
   * Resumes reading after backpressure from the caller. The pause is not counted towards the
   * stall time-out of the server.
   */
  #resumeReading({ record }: ObservedAttempt): void {
    record.lastByteMs = this.#deps.clock.monotonicMs();
    this.#current?.resume();
  }

  /** Checks whether any server is reachable if the current attempt is slow to connect. */
  checkConnecting(): void {
    if (this.#current === undefined || this.isCurrentSent) return;
    if (this.lastAttemptAgeMs < SLOW_CONNECT_MS) return;
    this.#deps.reachabilityMonitor.suspect(this.#request.service);
  }

  /** Aborts the current attempt, if there is one. */
  abort(outcome?: BackendAttemptOutcome): void {
    this.#current?.abort(outcome);
  }

  /** Aborts the current attempt unless its server may have received bytes of it. */
  abortUnsent(outcome: BackendAttemptOutcome): void {
    if (!this.isCurrentSent) this.abort(outcome);
  }

  /** Aborts the current attempt because its server has stalled. */
  abortStalled(reason: StallReason): void {
    const streaming = this.#request.exchange.state === "begun";
    this.abort({ tag: streaming ? "stream_broken" : "broken", reason });
  }

  /** Returns why the current attempt counts as stalled; undefined while it does not. */
  stallReason(
    admitted: AdmittedRequest,
    nowMs: number,
  ): StallReason | undefined {
    const record = this.#attempts.at(-1);
    const server = this.#server;
    if (record === undefined || server === undefined) return undefined;
    if (!this.isCurrentSent || this.#current?.paused === true) return undefined;
    const { route } = admitted;
    const isModelServer = this.isModelServer(admitted);
    const pending = { server, record, route, isModelServer };
    return this.#deps.attemptStallDetector.check(pending, nowMs);
  }

  #select(
    admitted: AdmittedRequest,
    criteria: ServerCriteria,
  ): ServerRecord | undefined {
    return this.#deps.serverSelector.choose(
      this.#selection(admitted, criteria),
    );
  }

  #selection(
    admitted: AdmittedRequest,
    criteria: ServerCriteria,
  ): SelectionCriteria {
    const { exchange, service } = this.#request;
    const { sharedPrefillMs: sharedMs } = this.#predictWork(
      admitted,
      criteria.model,
    );
    const { head } = exchange;
    return { ...criteria, service, head, isRetry: this.wasSent, sharedMs };
  }

  #observe(server: ServerRecord, admitted: AdmittedRequest): ObservedAttempt {
    const { exchange, service, models } = this.#request;
    const { model } = models;
    const { clock, serverLoads } = this.#deps;
    const work = this.#predictWork(admitted, model);
    // Includes the shared prompt parts, as it is not certain that the server has them cached.
    const expectedMs = serverLoads.work(server.instance) + work.prefillMs +
      work.sharedPrefillMs;
    return {
      server,
      service,
      route: admitted.route.id,
      head: exchange.head,
      record: createAttemptRecord(server, {
        model,
        startedMs: clock.monotonicMs(),
        expectedMs,
      }),
      work,
    };
  }

  #predictWork(
    { table }: AdmittedRequest,
    model: ModelId | undefined,
  ): PredictedWork {
    const { exchange, service } = this.#request;
    return this.#deps.workPredictor.predict(exchange.head, {
      service: table.service(service),
      model,
    });
  }

  #backendRequest(
    { instance }: ServerRecord,
    { admitted, remainingMs }: AttemptOptions,
  ): BackendRequest {
    const { exchange, body, models, stream } = this.#request;
    const { method, url, host, rawHeaders } = exchange;
    const { account, route, priority } = admitted;
    const headers = encodeBackendRequestHeaders(rawHeaders, {
      host,
      instance,
      remainingMs: remainingMs,
      account,
      urgency: route.kind === "stream"
        ? Math.min(LOWEST_URGENCY, priority)
        : undefined,
      model: models.model,
      lastEventId: stream.lastEvent,
    });
    return { method, path: url, headers, body };
  }
}
