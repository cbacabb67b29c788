/** Passes on what each try shows of servers, models and releases. */

import type { TryOutcome } from "../backends/backend_try.ts";
import type { ModelLatencyEstimator } from "../core/cascade/model_latency_estimator.ts";
import type { InstanceId, RouteId, ServiceId } from "../core/ids.ts";
import type { EvidenceAggregator } from "../core/rollout/evidence.ts";
import type {
  SessionTracker,
  TrackedSession,
} from "../core/rollout/session_tracker.ts";
import type { PromptHolders } from "../core/routing/prompt_holders.ts";
import type { ReadPace } from "../core/servers/read_pace.ts";
import type { ServerLoads } from "../core/servers/server_loads.ts";
import type { ServerRecord } from "../core/servers/server_record.ts";
import { kindOf, type SilenceWatch } from "../core/servers/silence.ts";
import type { CallerHead } from "../platform/header_wire.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";
import { promptKeyOf, sessionOf } from "./server_selector.ts";
import type { TryRecord } from "./try_record.ts";
import { ownTokens, type PredictedWork } from "./work_predictor.ts";

interface Deps {
  readonly serverLoads: ServerLoads;
  readonly evidenceAggregator: EvidenceAggregator;
  readonly sessionTracker: SessionTracker;
  readonly promptHolders: PromptHolders;
  readonly modelLatencyEstimator: ModelLatencyEstimator;
  readonly silenceWatch: SilenceWatch;
  readonly readPace: ReadPace;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** What a try is about. */
export interface ObservedTry {
  readonly server: ServerRecord;
  readonly service: ServiceId;
  readonly route: RouteId;
  readonly head: CallerHead;
  readonly record: TryRecord;
  readonly work: PredictedWork;
  /** How its session was noted as the try began; undefined where it belongs to none. */
  noted?: NotedSession;
}

/** A session as it was noted, and what was known of it before. */
interface NotedSession {
  readonly seen: TrackedSession;
  readonly before: TrackedSession | undefined;
}

/** Notes the beginning, the bytes and the end of tries. */
export class TryObserver {
  readonly #deps: Deps;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** A request is about to be sent. */
  began(observed: ObservedTry): void {
    const { server, head, record, work } = observed;
    const { serverLoads, promptHolders, sessionTracker, clock } = this.#deps;
    const { instance } = server;
    serverLoads.begin(instance, work.readMs + work.writeMs);
    const key = promptKeyOf(head, record.model);
    if (key !== undefined) {
      promptHolders.sent({ key, instance }, clock.monotonicMs());
    }
    const session = sessionOf(head);
    if (session === undefined) return;
    const { release } = server;
    const nowMs = clock.monotonicMs();
    const times = { seenMs: nowMs, learnedAtMs: nowMs };
    // At once, so that others of the session that come meanwhile go to the same release.
    const seen = { session, release, ...times, here: true };
    observed.noted = { seen, before: sessionTracker.record(seen) };
  }

  /** A byte of the answer has come. */
  byteCame({ server, service, route, head, record, work }: ObservedTry): void {
    const { silenceWatch, serverLoads, clock } = this.#deps;
    const nowMs = clock.monotonicMs();
    silenceWatch.spoke(server.instance, nowMs);
    record.byteMs = nowMs;
    if (record.firstByteMs !== undefined) return;
    record.firstByteMs = nowMs - record.startedMs;
    // With the first byte, the prompt has been read.
    serverLoads.lighten(server.instance, work.readMs);
    silenceWatch.firstByte(kindOf(route, record.model), record.firstByteMs);
    if (record.model === undefined) return;
    this.#deps.readPace.observe({
      service,
      model: record.model,
      tokens: ownTokens(head),
      elapsedMs: record.firstByteMs,
    });
  }

  /** A try has ended; `expired` tells that the time of its request is up. */
  ended(
    observed: ObservedTry,
    { outcome, expired }: { outcome: TryOutcome; expired: boolean },
  ): void {
    const { server, record, work } = observed;
    const read = record.firstByteMs !== undefined;
    const left = work.writeMs + (read ? 0 : work.readMs);
    this.#deps.serverLoads.end(server.instance, left);
    if (hasNotRun(outcome)) this.#forgetSession(observed);
    this.#noteHealth(outcome, server.instance);
    this.#noteEvidence(observed, { outcome, expired });
    this.#notePace(observed, outcome);
  }

  /** A session is not tied to a release that has run nothing of it. */
  #forgetSession({ noted }: ObservedTry): void {
    if (noted === undefined) return;
    this.#deps.sessionTracker.revert(noted.seen, noted.before);
  }

  #noteEvidence(
    { server, service, route, record }: ObservedTry,
    { outcome, expired }: { outcome: TryOutcome; expired: boolean },
  ): void {
    const failed = speaksAgainstRelease(outcome, expired);
    if (failed === undefined) return;
    this.#deps.evidenceAggregator.observe({
      service,
      release: server.release,
      route,
      model: record.model,
      failed,
      firstByteMs: record.firstByteMs,
    });
  }

  #notePace({ route, head, record }: ObservedTry, outcome: TryOutcome): void {
    if (outcome.tag !== "streamed" || record.model === undefined) return;
    const { modelLatencyEstimator, clock } = this.#deps;
    modelLatencyEstimator.observe({
      route,
      model: record.model,
      firstMs: record.firstByteMs ?? 0,
      totalMs: clock.monotonicMs() - record.startedMs,
      promptTokens: head.promptTokens,
      outputTokens: head.outputTokens,
    });
  }

  #noteHealth(outcome: TryOutcome, instance: InstanceId): void {
    const { serverLoads, clock, logger } = this.#deps;
    const nowMs = clock.monotonicMs();
    const avoidMs = this.#avoidanceMs(outcome, { instance, nowMs });
    if (avoidMs === undefined) return;
    logger.warn("Server is avoided", {
      server: instance,
      outcome: outcome.tag,
      for_ms: avoidMs,
      failure_rate: serverLoads.failureRate(instance, nowMs),
    });
  }

  #avoidanceMs(
    outcome: TryOutcome,
    { instance, nowMs }: { instance: InstanceId; nowMs: number },
  ): number | undefined {
    const { serverLoads } = this.#deps;
    switch (outcome.tag) {
      case "streamed":
      case "turned_down":
        serverLoads.succeeded(instance, nowMs);
        return undefined;
      case "answered":
        if (outcome.head.status >= 500) {
          return serverLoads.failed(instance, nowMs);
        }
        serverLoads.succeeded(instance, nowMs);
        return undefined;
      case "not_sent":
        return serverLoads.unreachable(instance, nowMs);
      case "broken":
      case "stream_broken":
        return serverLoads.failed(instance, nowMs);
      case "not_run":
        // Nothing is guessed where the server has said for how long.
        return outcome.restMs > 0
          ? undefined
          : serverLoads.turnedAway(instance, nowMs);
      default:
        return undefined;
    }
  }
}

/** Whether no server has run the request of a try. */
function hasNotRun({ tag }: TryOutcome): boolean {
  return tag === "not_run" || tag === "withheld" || tag === "not_sent" ||
    tag === "misdirected";
}

/** Whether a try speaks against its release; undefined where it says nothing. */
function speaksAgainstRelease(
  outcome: TryOutcome,
  expired: boolean,
): boolean | undefined {
  switch (outcome.tag) {
    case "streamed":
    case "turned_down":
      return false;
    case "answered":
      return outcome.head.status >= 500;
    case "broken":
    case "stream_broken":
      return true;
    case "given_up":
      return expired ? true : undefined;
    default:
      return undefined;
  }
}
