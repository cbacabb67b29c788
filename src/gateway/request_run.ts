/** Runs one request of a caller through one or more attempts at backend servers. */

import type { Buffer } from "node:buffer";
import type {
  BackendAttemptOutcome,
  HeadDecision,
  ResponseHead,
} from "../backends/backend_attempt.ts";
import type { ResponseBody } from "../backends/response_body.ts";
import type { ModelLatencyEstimator } from "../core/cascade/model_latency_estimator.ts";
import type { ServiceId } from "../core/ids.ts";
import type { RetryBudget } from "../core/limits/retry_budget.ts";
import type { Refusal } from "../core/refusal.ts";
import type { ServerRecord } from "../core/servers/server_record.ts";
import { pause } from "../runtime/pause.ts";
import type { ServerFollower } from "../store/server_follower.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import type { CrashDetector } from "./crash_detector.ts";
import { DispatchRecord } from "./dispatch_record.ts";
import type { MisdirectionCheck } from "./misdirection_check.ts";
import { ModelCascade } from "./model_cascade.ts";
import type { AdmittedRequest } from "./request_admission.ts";
import {
  ForwardingFallback,
  type ForwardingFallbackDeps,
  UNREACHABLE,
} from "./forwarding_fallback.ts";
import { RequestCrashTracker } from "./request_crash_tracker.ts";
import { type NoServerContext, RequestFinisher } from "./request_finisher.ts";
import { RequestIdentity } from "./request_identity.ts";
import { RetryPermit } from "./retry_permit.ts";
import { RunTally } from "./run_tally.ts";
import type { RunSummary } from "./run_summary.ts";
import type { StopState } from "./stop_state.ts";
import { StreamRelay } from "./stream_relay.ts";
import { AttemptSender, type AttemptSenderDeps } from "./attempt_sender.ts";

/** A request with less time left than this is not sent to a server any more. */
const MIN_LEFT_MS = 20;
/** Responses with this status or a higher one are errors. */
const FIRST_ERROR_STATUS = 400;
/** Reason given when a request may not be retried. */
const BUDGET_EXHAUSTED = "retry budget exhausted";
/** Reason given to a VM that forwards a request to one that is shutting down. */
const STOPPING = "stopping";

/** Dependencies shared by all runs. */
export interface RequestRunDeps
  extends AttemptSenderDeps, ForwardingFallbackDeps {
  readonly serverFollower: ServerFollower;
  readonly retryBudget: RetryBudget;
  readonly modelLatencyEstimator: ModelLatencyEstimator;
  readonly crashDetector: CrashDetector;
  readonly misdirectionCheck: MisdirectionCheck;
  readonly stopState: Pick<StopState, "refusal">;
  readonly chance: () => number;
}

type StepResult = "again" | "done";

/** Runs one admitted request until its response is sent or its caller disconnects. */
export class RequestRun {
  readonly #deps: RequestRunDeps;
  readonly #exchange: CallerExchange;
  readonly #service: ServiceId;
  readonly #models: ModelCascade;
  readonly #stream: StreamRelay;
  readonly #sender: AttemptSender;
  readonly #forwarding: ForwardingFallback;
  readonly #limitMs: number;
  /**
   * Result of the admission, which applies to all attempts. Repeating the admission with newer
   * configuration (a key revoked, a route removed, the store unreachable) would cut streams of
   * which callers have already received a part.
   */
  readonly #admitted: AdmittedRequest;
  readonly #identity: RequestIdentity;
  readonly #crashes: RequestCrashTracker;
  readonly #dispatches = new DispatchRecord();
  readonly #tally = new RunTally(this.#dispatches);
  readonly #retryPermit: RetryPermit;
  readonly #end: RequestFinisher;
  #expired = false;
  /** Whether this VM has aborted an attempt that its server was still running. */
  #abortedRunning = false;
  #timer: NodeJS.Timeout | undefined;

  constructor(
    deps: RequestRunDeps,
    { exchange, admitted, body }: {
      exchange: CallerExchange;
      admitted: AdmittedRequest;
      body: Buffer | undefined;
    },
  ) {
    this.#deps = deps;
    this.#exchange = exchange;
    this.#admitted = admitted;
    this.#service = deps.serverSelector.pickService(admitted.route);
    this.#retryPermit = new RetryPermit(deps, this.#service, {
      isCounted: exchange.origin?.isCounted ?? false,
    });
    const { head, method, host, url } = exchange;
    const { account, route } = admitted;
    this.#identity = new RequestIdentity(
      { method, host, url, account, body },
      { service: this.#service, parts: head.promptParts },
    );
    this.#crashes = new RequestCrashTracker(deps.crashDetector, {
      identity: this.#identity,
      attemptId: head.attempt,
      account,
      service: this.#service,
      streaming: route.kind === "stream",
    });
    this.#limitMs = admitted.limitMs;
    this.#models = new ModelCascade(deps.modelLatencyEstimator, {
      head,
      route,
    });
    this.#end = new RequestFinisher(deps, {
      exchange,
      tally: this.#tally,
      summary: () => this.summary(),
    });
    this.#stream = new StreamRelay(exchange);
    this.#sender = new AttemptSender(deps, {
      exchange,
      body,
      service: this.#service,
      models: this.#models,
      stream: this.#stream,
      dispatches: this.#dispatches,
    });
    this.#forwarding = new ForwardingFallback(deps, {
      exchange,
      body,
      service: this.#service,
      dispatches: this.#dispatches,
      sender: this.#sender,
      tally: this.#tally,
      permit: this.#retryPermit,
      end: this.#end,
    });
  }

  /** Inputs of the routing decisions and the attempts made, for the log. */
  summary(): RunSummary {
    const { route, account, table, confirmedAgeMs } = this.#admitted;
    return {
      service: this.#service,
      route: route.id,
      identity: this.#identity,
      account,
      configurationVersion: table.version,
      confirmedAgeMs,
      limitMs: this.#limitMs,
      retryBudget: this.#retryPermit.budgetState(),
      tries: this.#sender.attempts,
      forwardedTo: this.#forwarding.vm,
      forwardedFrom: this.#exchange.origin?.vm,
    };
  }

  /** Runs the request; resolves when its response has ended or its caller has disconnected. */
  async run(): Promise<void> {
    this.#timer = setTimeout(() => this.#expire(), this.#leftMs());
    this.#exchange.onDisconnect(() => this.#abort());
    try {
      while (await this.#step() === "again");
    } finally {
      clearTimeout(this.#timer);
      this.#retryPermit.release();
    }
  }

  async #step(): Promise<StepResult> {
    if (this.#exchange.isFinished) return "done";
    if (this.#expired || this.#leftMs() < MIN_LEFT_MS) return this.#timeUp();
    if (this.#isBarredByStop()) return this.#refuseForStop();
    const crashState = await this.#crashes.waitUntilSettled(() =>
      this.#isFinished
    );
    if (crashState.tag === "quarantined") {
      this.#retryPermit.countRequest();
      return this.#refuse(this.#tally.crashRefusal(crashState));
    }
    if (this.#isFinished) return "again";
    if (this.#forwarding.isNeeded) {
      const forwarded = await this.#forwardElsewhere();
      if (forwarded !== undefined) return forwarded;
      if (this.#forwarding.isSearchSlow) {
        return this.#refuse(this.#tally.noServerRefusal());
      }
    }
    this.#retryPermit.countRequest();
    const server = this.#sender.chooseServer(
      this.#admitted,
      this.#choiceOptions,
    );
    if (server === undefined) return await this.#borrowOrWait();
    if (!this.#acquirePermit()) return await this.#waitForPermit();
    const outcome = await this.#sendAttempt(server);
    const record = this.#sender.attempts.at(-1);
    await this.#crashes.recordAttemptEnd(outcome, { server, record });
    return await this.#handleOutcome(outcome, server);
  }

  /** Borrows rate limit capacity from another VM, or else waits or refuses the request. */
  async #borrowOrWait(): Promise<StepResult> {
    const borrowed = await this.#sender.borrowCapacity(
      this.#admitted,
      this.#choiceOptions,
    );
    if (borrowed) return "again";
    // The wait is computed before the choice: a server that opens between the two is then found by
    // the choice. In the opposite order neither of them would see it.
    const opensInMs = this.#opensInMs();
    const server = this.#sender.chooseServer(
      this.#admitted,
      this.#choiceOptions,
    );
    return server === undefined
      ? await this.#handleNoServer({ opensInMs })
      : "again";
  }

  /** Sends the request through another VM; returns undefined if none takes it. */
  async #forwardElsewhere(): Promise<StepResult | undefined> {
    const isTaken = await this.#forwarding.send({
      configurationVersion: this.#admitted.table.version,
      leftMs: () => this.#leftMs(),
    });
    return isTaken ? "done" : undefined;
  }

  #abort(): void {
    this.#sender.abort();
    this.#forwarding.abort();
  }

  /** Waits or refuses the request, as it may not be sent to another server now. */
  #waitOrRefuse(reason?: string): Promise<StepResult> {
    return this.#handleNoServer({ reason, opensInMs: this.#opensInMs() });
  }

  #opensInMs(): number | undefined {
    return this.#sender.opensInMs(this.#admitted);
  }

  /** Whether the response has ended or the request has expired. */
  get #isFinished(): boolean {
    return this.#exchange.isFinished || this.#expired;
  }

  get #choiceOptions() {
    return {
      allowTried: this.#tally.runs > 0,
      isolate: this.#crashes.isSuspected,
      crashed: this.#crashes.crashedAddresses,
    };
  }

  /** Acquires a permit from the retry budget if the next attempt is a retry. */
  #acquirePermit(): boolean {
    return !this.#sender.wasSent || this.#retryPermit.acquire();
  }

  /** Waits until servers acknowledge retries, or else for a server or refuses the request. */
  async #waitForPermit(): Promise<StepResult> {
    const waitMs = this.#retryPermit.nextAckWaitMs();
    if (waitMs === undefined) return this.#waitOrRefuse(BUDGET_EXHAUSTED);
    await pause(waitMs);
    return "again";
  }

  #sendAttempt(server: ServerRecord): Promise<BackendAttemptOutcome> {
    return this.#sender.send(server, {
      admitted: this.#admitted,
      isolate: this.#crashes.isSuspected,
      remainingMs: this.#leftMs(),
      onHead: (head) => this.#decideByHead(head),
      permit: this.#retryPermit,
      isRetry: this.#sender.wasSent,
      isExpired: () => this.#expired,
      isBarred: () => this.#crashes.isQuarantined || this.#isBarredByStop(),
    });
  }

  /** Whether the request must not begin to run, as it may outlast this process. */
  #isBarredByStop(): boolean {
    return !this.#dispatches.mayHaveRun &&
      this.#deps.stopState.refusal(this.#leftMs()) !== undefined;
  }

  #refuseForStop(): StepResult {
    const { origin } = this.#exchange;
    if (origin !== undefined && !this.#dispatches.mayHaveRun) {
      this.#forwarding.decline(STOPPING);
      return "done";
    }
    return this.#refuse(this.#tally.stopRefusal());
  }

  /** Ends the request, as this process exits. */
  endForStop(): void {
    this.#refuseForStop();
    this.#abort();
  }

  /** Called periodically while the request runs; aborts quarantined or stalled attempts. */
  check(nowMs: number): void {
    this.#sender.checkConnecting();
    if (this.#forwarding.isNeeded) {
      this.#sender.abortUnsent({ tag: "not_sent", reason: UNREACHABLE });
    }
    // A stream that has begun and continues shows that the request does not crash its server.
    const begun = this.#sender.hasFirstByte || !this.#crashes.isStream;
    if (!begun && this.#crashes.isQuarantined) this.#sender.abort();
    else this.#checkStall(nowMs);
  }

  #checkStall(nowMs: number): void {
    // The current run counts as well.
    if (!this.#mayRetry(1)) return;
    const reason = this.#sender.stallReason(this.#admitted, nowMs);
    if (reason === undefined || !this.#canRetryElsewhere()) return;
    if (!this.#retryPermit.acquire()) return;
    this.#abortedRunning = true;
    this.#sender.abortStalled(reason);
  }

  #decideByHead(head: ResponseHead): HeadDecision {
    const { status, decoded } = head;
    const { route } = this.#admitted;
    if (status >= 300 || route.kind !== "stream") return "collect";
    if (this.#exchange.state === "begun") return "stream";
    if (this.#shouldEscalate(decoded.confidence)) return "turn_down";
    this.#exchange.beginStream(head);
    return "stream";
  }

  #shouldEscalate(confidence: number | undefined): boolean {
    // Escalation costs a retry, which other requests may need to get any response at all.
    if (!this.#retryPermit.hasSpare) return false;
    const { route } = this.#admitted;
    return this.#models.shouldEscalate({
      route,
      confidence,
      usedMs: this.#exchange.ageMs(),
      limitMs: this.#limitMs,
      predictStartMs: (model) =>
        this.#sender.predictStartMs(this.#admitted, model),
      runsLeft: route.maxRuns - this.#tally.runs - 1,
    });
  }

  #handleOutcome(
    outcome: BackendAttemptOutcome,
    server: ServerRecord,
  ): StepResult | Promise<StepResult> {
    switch (outcome.tag) {
      case "given_up":
        this.#tally.recordRun();
        return "again";
      case "withheld":
        return "again";
      case "not_sent":
        return this.#mayTryAnother() ? "again" : this.#waitOrRefuse();
      case "not_run":
        return this.#tally.recordRefusal() ? "again" : this.#waitOrRefuse();
      case "misdirected":
        return this.#handleMisdirected(server);
      case "turned_down":
        return this.#escalate();
      case "answered":
        return this.#handleAnswered(outcome);
      case "streamed":
        return this.#handleStreamed();
      case "broken":
        return this.#handleBroken(outcome.reason);
      case "stream_broken":
        return this.#resumeStream(outcome.reason);
    }
  }

  async #handleMisdirected(server: ServerRecord): Promise<StepResult> {
    const { misdirectionCheck, serverFollower } = this.#deps;
    const isOwnResponse = await misdirectionCheck.isOwnResponse(server, {
      isModelServer: this.#sender.isModelServer(this.#admitted),
    });
    if (!isOwnResponse) {
      serverFollower.markMisdirected(server.instance);
      return "again";
    }
    return this.#tally.recordUnserved() ? "again" : this.#waitOrRefuse();
  }

  /** Whether to try another server after one that could not be reached. */
  #mayTryAnother(): boolean {
    const tookMs = this.#sender.lastAttemptAgeMs;
    const hasSound = this.#sender.hasHealthyServer(
      this.#admitted,
      this.#choiceOptions,
    );
    return this.#tally.recordUnsent({ tookMs, hasSound });
  }

  #escalate(): StepResult {
    this.#tally.recordRun();
    this.#models.escalate();
    this.#sender.resetTried();
    return "again";
  }

  #handleAnswered(
    { head, body }: { head: ResponseHead; body: ResponseBody },
  ): StepResult {
    if (this.#exchange.state === "begun") {
      return this.#resumeStream(`status ${head.status}`);
    }
    this.#tally.recordRun();
    if (head.status >= 500 && this.#mayRetry() && this.#canRetryElsewhere()) {
      body.release();
      return "again";
    }
    if (head.status < FIRST_ERROR_STATUS) this.#recordSuccess();
    this.#exchange.respond(head, body);
    return "done";
  }

  #handleStreamed(): StepResult {
    this.#recordSuccess();
    this.#stream.end();
    return "done";
  }

  /** Clears the request of suspicion, unless its response may have been cut. */
  #recordSuccess(): void {
    if (this.#sender.isLastComplete) this.#crashes.recordSuccess();
  }

  #handleBroken(reason: string): StepResult {
    this.#tally.recordRun();
    if (this.#mayRetry()) return "again";
    return this.#refuse({ tag: "answer_lost", reason });
  }

  /** Continues the stream on another server, within the same response to the caller. */
  #resumeStream(reason: string): StepResult {
    this.#tally.recordRun();
    this.#stream.dropPartialEvent();
    const { route } = this.#admitted;
    if (route.resumable && this.#tally.runs < route.maxRuns) return "again";
    return this.#refuse({ tag: "answer_lost", reason });
  }

  /** Whether the route allows another run, in addition to `inProgress` ones not counted yet. */
  #mayRetry(inProgress = 0): boolean {
    return this.#tally.mayRetry(this.#admitted.route, inProgress);
  }

  #canRetryElsewhere(): boolean {
    const other = this.#sender.chooseOtherServer(
      this.#admitted,
      this.#choiceOptions,
    );
    return other !== undefined && this.#retryPermit.isAvailable;
  }

  /** Waits for a server to become available, or refuses the request. */
  async #handleNoServer(
    { reason, opensInMs }: Pick<NoServerContext, "reason" | "opensInMs">,
  ): Promise<StepResult> {
    if (this.#forwarding.isLastResort) {
      const forwarded = await this.#forwardElsewhere();
      if (forwarded !== undefined) return forwarded;
    }
    const waitMs = this.#end.waitOrRefuse({
      reason,
      opensInMs,
      leftMs: this.#leftMs(),
      hasAbandonedRun: this.#abortedRunning,
    });
    if (waitMs === undefined) return "done";
    await pause(waitMs);
    return "again";
  }

  #timeUp(): StepResult {
    this.#end.refuseExpired();
    return "done";
  }

  #refuse(refusal: Refusal): StepResult {
    this.#end.refuse(refusal);
    return "done";
  }

  #expire(): void {
    this.#expired = true;
    // A response that has arrived is delivered even if it turns out to be whole only now.
    if (this.#sender.isCheckingEnd) return;
    this.#timeUp();
    this.#abort();
  }

  #leftMs(): number {
    return this.#limitMs - this.#exchange.ageMs();
  }
}
