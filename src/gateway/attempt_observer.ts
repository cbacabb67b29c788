/** Updates statistics of servers, models, releases and sessions from the progress of attempts. */

import {
  type BackendAttemptOutcome,
  isNotRun,
} from "../backends/backend_attempt.ts";
import type { ModelLatencyEstimator } from "../core/cascade/model_latency_estimator.ts";
import type { InstanceId, RouteId, ServiceId } from "../core/ids.ts";
import type { EvidenceAggregator } from "../core/rollout/evidence.ts";
import type {
  SessionTracker,
  TrackedSession,
} from "../core/rollout/session_tracker.ts";
import type { PromptHolders } from "../core/routing/prompt_holders.ts";
import type { PrefillTimeEstimator } from "../core/servers/prefill_time_estimator.ts";
import type { ServerLoads } from "../core/servers/server_loads.ts";
import type { ServerReachability } from "../core/servers/server_reachability.ts";
import type { ServerRecord } from "../core/servers/server_record.ts";
import {
  requestKindOf,
  type ServerStallDetector,
  type StallReason,
} from "../core/servers/server_stall_detector.ts";
import type { CallerHead } from "../platform/header_wire.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";
import { promptKeyOf, sessionOf } from "./server_selector.ts";
import type { AttemptRecord } from "./attempt_record.ts";
import { type PredictedWork, unsharedPromptTokens } from "./work_predictor.ts";

/** Responses with this status or a higher one count as failures of the server. */
const FIRST_SERVER_ERROR = 500;

const NO_FIRST_BYTE: StallReason = "no_first_byte";

interface Deps {
  readonly serverLoads: ServerLoads;
  readonly evidenceAggregator: EvidenceAggregator;
  readonly sessionTracker: SessionTracker;
  readonly promptHolders: PromptHolders;
  readonly modelLatencyEstimator: ModelLatencyEstimator;
  readonly serverStallDetector: ServerStallDetector;
  readonly serverReachability: Pick<ServerReachability, "isLost">;
  readonly prefillTimeEstimator: PrefillTimeEstimator;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** An attempt with the context that statistics are kept by. */
export interface ObservedAttempt {
  readonly server: ServerRecord;
  readonly service: ServiceId;
  readonly route: RouteId;
  readonly head: CallerHead;
  readonly record: AttemptRecord;
  readonly work: PredictedWork;
  /** How the session was noted when the attempt started; undefined for requests without session. */
  sessionNote?: SessionNote;
}

/** Entry of a session that an attempt wrote, and the entry that it replaced. */
interface SessionNote {
  readonly current: TrackedSession;
  readonly previous: TrackedSession | undefined;
}

/** Observes the start, the received bytes and the end of attempts. */
export class AttemptObserver {
  readonly #deps: Deps;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Called right before an attempt is sent. */
  attemptStarted(observed: ObservedAttempt): void {
    const { server, head, record, work } = observed;
    const { serverLoads, promptHolders, sessionTracker, clock } = this.#deps;
    const { instance } = server;
    serverLoads.begin(instance, work.prefillMs + work.decodeMs);
    const key = promptKeyOf(head, record.model);
    if (key !== undefined) {
      promptHolders.recordSent({ key, instance }, clock.monotonicMs());
    }
    const session = sessionOf(head);
    if (session === undefined) return;
    const { release } = server;
    const nowMs = clock.monotonicMs();
    const times = { seenMs: nowMs, learnedAtMs: nowMs };
    // Noted before the response, so that concurrent requests of the session use the same release.
    const current = { session, release, ...times, here: true };
    observed.sessionNote = {
      current,
      previous: sessionTracker.record(current),
    };
  }

  /** Called whenever bytes of the response are received. */
  bytesReceived(
    { server, service, route, head, record, work }: ObservedAttempt,
  ): void {
    const { serverStallDetector, serverLoads, clock } = this.#deps;
    const nowMs = clock.monotonicMs();
    serverStallDetector.recordActivity(server.instance, nowMs);
    record.lastByteMs = nowMs;
    if (record.firstByteMs !== undefined) return;
    record.firstByteMs = nowMs - record.startedMs;
    // The first byte shows that the server has read the whole prompt.
    serverLoads.reduceWork(server.instance, work.prefillMs);
    serverStallDetector.recordFirstByte(
      requestKindOf(route, record.model),
      record.firstByteMs,
    );
    if (record.model === undefined) return;
    this.#deps.prefillTimeEstimator.observe({
      service,
      model: record.model,
      tokens: unsharedPromptTokens(head),
      elapsedMs: record.firstByteMs,
    });
  }

  /** Called with the status of a response that the server has processed. */
  headReceived(observed: ObservedAttempt, status: number): void {
    const { firstByteMs } = observed.record;
    if (status >= FIRST_SERVER_ERROR || firstByteMs === undefined) return;
    this.#recordLatency(observed, firstByteMs);
  }

  /** Called when an attempt has ended; `expired` says whether its request has timed out. */
  attemptEnded(
    observed: ObservedAttempt,
    { outcome, expired }: { outcome: BackendAttemptOutcome; expired: boolean },
  ): void {
    const { server, record, work } = observed;
    const read = record.firstByteMs !== undefined;
    const remainingMs = work.decodeMs + (read ? 0 : work.prefillMs);
    this.#deps.serverLoads.end(server.instance, remainingMs);
    if (isNotRun(outcome)) this.#revertSession(observed);
    this.#recordHealth(outcome, server.instance);
    this.#recordEvidence(observed, { outcome, expired });
    this.#recordPace(observed, outcome);
  }

  /** Reverts the session to its previous release, as this one has not run any of its requests. */
  #revertSession({ sessionNote }: ObservedAttempt): void {
    if (sessionNote === undefined) return;
    this.#deps.sessionTracker.revert(sessionNote.current, sessionNote.previous);
  }

  #recordEvidence(
    observed: ObservedAttempt,
    { outcome, expired }: { outcome: BackendAttemptOutcome; expired: boolean },
  ): void {
    const { server, service, route, record } = observed;
    const failed = isReleaseFailure(outcome, expired);
    if (failed === undefined) return;
    // While no server is reachable, failures lie with the links of this VM.
    if (failed && this.#deps.serverReachability.isLost(service)) return;
    this.#deps.evidenceAggregator.observe({
      service,
      release: server.release,
      route,
      model: record.model,
      failed,
    });
    // A response that never began took at least as long as it was waited for.
    if (!isOverdue(outcome) || record.firstByteMs !== undefined) return;
    const { clock } = this.#deps;
    this.#recordLatency(observed, clock.monotonicMs() - record.startedMs);
  }

  #recordLatency(
    { server, service, route, record }: ObservedAttempt,
    firstByteMs: number,
  ): void {
    this.#deps.evidenceAggregator.observeLatency({
      service,
      release: server.release,
      route,
      model: record.model,
      firstByteMs,
    });
  }

  #recordPace(
    { route, head, record }: ObservedAttempt,
    outcome: BackendAttemptOutcome,
  ): void {
    if (outcome.tag !== "streamed" || record.model === undefined) return;
    const { modelLatencyEstimator, clock } = this.#deps;
    modelLatencyEstimator.observe({
      route,
      model: record.model,
      firstMs: record.firstByteMs ?? 0,
      totalMs: clock.monotonicMs() - record.startedMs,
      promptTokens: head.promptTokens,
      outputTokens: head.maxOutputTokens,
    });
  }

  #recordHealth(outcome: BackendAttemptOutcome, instance: InstanceId): void {
    const { serverLoads, clock, logger } = this.#deps;
    const nowMs = clock.monotonicMs();
    const ejectedMs = this.#ejectionMs(outcome, { instance, nowMs });
    if (ejectedMs === undefined) return;
    logger.warn("Backend server ejected after failed attempt", {
      server: instance,
      outcome: outcome.tag,
      for_ms: ejectedMs,
      failure_rate: serverLoads.failureRate(instance, nowMs),
    });
  }

  /** Updates the health of a server; returns how long it is ejected, undefined if it is not. */
  #ejectionMs(
    outcome: BackendAttemptOutcome,
    { instance, nowMs }: { instance: InstanceId; nowMs: number },
  ): number | undefined {
    const { serverLoads } = this.#deps;
    switch (outcome.tag) {
      case "streamed":
      case "turned_down":
        serverLoads.recordSuccess(instance, nowMs);
        return undefined;
      case "answered":
        if (outcome.head.status >= FIRST_SERVER_ERROR) {
          return serverLoads.recordFailure(instance, nowMs);
        }
        serverLoads.recordSuccess(instance, nowMs);
        return undefined;
      case "not_sent":
        return serverLoads.recordUnreachable(instance, nowMs);
      case "broken":
      case "stream_broken":
        return serverLoads.recordFailure(instance, nowMs);
      case "not_run":
        // A backoff time that the server asks for takes the place of an estimated one.
        return outcome.restMs > 0
          ? undefined
          : serverLoads.recordRejection(instance, nowMs);
      default:
        return undefined;
    }
  }
}

/** Whether an outcome counts as a failure of the release; undefined if it does not count at all. */
function isReleaseFailure(
  outcome: BackendAttemptOutcome,
  expired: boolean,
): boolean | undefined {
  switch (outcome.tag) {
    case "streamed":
    case "turned_down":
      return false;
    case "answered":
      return outcome.head.status >= FIRST_SERVER_ERROR;
    case "broken":
    case "stream_broken":
      return true;
    case "given_up":
      return expired ? true : undefined;
    default:
      return undefined;
  }
}

/** Whether an attempt was abandoned because its response took too long. */
function isOverdue(outcome: BackendAttemptOutcome): boolean {
  if (outcome.tag === "broken") return outcome.reason === NO_FIRST_BYTE;
  // Counted only if the request has expired, not if its caller has left.
  return outcome.tag === "given_up";
}
