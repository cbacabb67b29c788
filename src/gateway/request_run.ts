/** One caller's request on its way through one or more tries. */

import type { Buffer } from "node:buffer";
import type {
  AnswerHead,
  HeadVerdict,
  TryOutcome,
} from "../backends/backend_try.ts";
import type { ModelLatencyEstimator } from "../core/cascade/model_latency_estimator.ts";
import type { ServiceId } from "../core/ids.ts";
import type { RetryBudget } from "../core/limits/retry_budget.ts";
import type { Refusal } from "../core/refusal.ts";
import type { ServerRecord } from "../core/servers/server_record.ts";
import { pause } from "../runtime/pause.ts";
import type { ServerFollower } from "../store/server_follower.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import type { CrashWatch } from "./crash_watch.ts";
import { ModelChoice } from "./model_choice.ts";
import type { Admitted } from "./request_admission.ts";
import { RequestCrashes } from "./request_crashes.ts";
import { type NoServer, RequestEnd } from "./request_end.ts";
import { RequestIdentity } from "./request_identity.ts";
import type { RequestLog } from "./request_log.ts";
import { RetryPermit } from "./retry_permit.ts";
import { RunTally } from "./run_tally.ts";
import type { RunSummary } from "./run_summary.ts";
import { StreamRelay } from "./stream_relay.ts";
import { TrySender, type TrySenderDeps } from "./try_sender.ts";

/** Wait of a caller that names none and whose route names none, in milliseconds. */
const DEFAULT_WAIT_MS = 30_000;
/** Shortest time with which a request is still sent to a server, in milliseconds. */
const MIN_WAIT_MS = 20;
/** Statuses from here on tell of errors. */
const FIRST_ERROR_STATUS = 400;
/** Why a request ends that may not be sent again. */
const NO_RETRY = "retry budget exhausted";

/** What all runs share. */
export interface RequestRunDeps extends TrySenderDeps {
  readonly serverFollower: ServerFollower;
  readonly retryBudget: RetryBudget;
  readonly modelLatencyEstimator: ModelLatencyEstimator;
  readonly crashWatch: CrashWatch;
  readonly requestLog: RequestLog;
  readonly chance: () => number;
}

type Next = "again" | "done";

/** Runs one admitted request to its end. */
export class RequestRun {
  readonly #deps: RequestRunDeps;
  readonly #exchange: CallerExchange;
  readonly #service: ServiceId;
  readonly #models: ModelChoice;
  readonly #stream: StreamRelay;
  readonly #sender: TrySender;
  readonly #limitMs: number;
  /**
   * What the request was accepted as. It holds for all tries: judging the request again by
   * later news (a key withdrawn, a route removed, the store out of reach) would cut streams
   * of which callers have a part.
   */
  readonly #admitted: Admitted;
  readonly #identity: RequestIdentity;
  readonly #crashes: RequestCrashes;
  readonly #tally = new RunTally();
  readonly #retryPermit: RetryPermit;
  readonly #end: RequestEnd;
  #expired = false;
  /** Whether this VM has given up a run that its server had not ended. */
  #leftRunning = false;
  #timer: NodeJS.Timeout | undefined;

  constructor(
    deps: RequestRunDeps,
    { exchange, admitted, body }: {
      exchange: CallerExchange;
      admitted: Admitted;
      body: Buffer | undefined;
    },
  ) {
    this.#deps = deps;
    this.#exchange = exchange;
    this.#admitted = admitted;
    this.#service = deps.serverSelector.pickService(admitted.route);
    this.#retryPermit = new RetryPermit(deps, this.#service);
    const { head, method, host, url } = exchange;
    const { account, route } = admitted;
    this.#identity = new RequestIdentity({ method, host, url, account, body });
    this.#crashes = new RequestCrashes(deps.crashWatch, {
      identity: this.#identity,
      attempt: head.attempt,
      account,
      service: this.#service,
      streaming: route.kind === "stream",
    });
    this.#limitMs = Math.min(
      head.waitMs ?? DEFAULT_WAIT_MS,
      route.timeLimitMs ?? Infinity,
    );
    this.#models = new ModelChoice(deps.modelLatencyEstimator, { head, route });
    this.#end = new RequestEnd(deps, {
      exchange,
      tally: this.#tally,
      summary: () => this.summary(),
    });
    this.#stream = new StreamRelay(exchange);
    this.#sender = new TrySender(deps, {
      exchange,
      body,
      service: this.#service,
      models: this.#models,
      stream: this.#stream,
    });
  }

  /** What decided the request, for the log. */
  summary(): RunSummary {
    const { route, account, table, confirmedAgeMs } = this.#admitted;
    return {
      service: this.#service,
      route: route.id,
      request: this.#identity,
      account,
      configurationVersion: table.version,
      confirmedAgeMs,
      limitMs: this.#limitMs,
      retryBudget: this.#retryPermit.state(),
      tries: this.#sender.tries,
    };
  }

  /** Runs to the end; the caller has its answer then, or is gone. */
  async run(): Promise<void> {
    this.#retryPermit.countRequest();
    this.#timer = setTimeout(() => this.#expire(), this.#leftMs());
    this.#exchange.onGone(() => this.#sender.giveUp());
    try {
      while (await this.#step() === "again");
    } finally {
      clearTimeout(this.#timer);
      this.#retryPermit.release();
    }
  }

  async #step(): Promise<Next> {
    if (this.#exchange.isOver) return "done";
    if (this.#expired || this.#leftMs() < MIN_WAIT_MS) return this.#timeUp();
    const standing = await this.#crashes.settled(() => this.#isOver);
    if (standing.tag === "quarantined") {
      return this.#finish(this.#tally.crashRefusal(standing));
    }
    if (this.#isOver) return "again";
    const server = this.#sender.choose(this.#admitted, this.#choice);
    if (server === undefined) return await this.#noChoice();
    if (!this.#acquireRetry()) return this.#noFurther(NO_RETRY);
    const outcome = await this.#try(server);
    const record = this.#sender.tries.at(-1);
    await this.#crashes.tryEnded(outcome, { server, record });
    return await this.#after(outcome, server);
  }

  /** Goes on at a server with a limit, if another VM lends a place there. */
  async #noChoice(): Promise<Next> {
    const lent = await this.#sender.borrow(this.#admitted, this.#choice);
    if (lent) return "again";
    // Time passes between two looks at the servers. Asked for the wait first, one that opens
    // meanwhile is found by the choice; the other way round it would be seen by neither.
    const opensInMs = this.#opensInMs();
    const server = this.#sender.choose(this.#admitted, this.#choice);
    return server === undefined ? await this.#noServer({ opensInMs }) : "again";
  }

  /** Ends a request, or has it wait, that may not be sent to a further server now. */
  #noFurther(reason?: string): Promise<Next> {
    return this.#noServer({ reason, opensInMs: this.#opensInMs() });
  }

  #opensInMs(): number | undefined {
    return this.#sender.opensInMs(this.#admitted);
  }

  /** Whether there is nothing more to be done for the caller. */
  get #isOver(): boolean {
    return this.#exchange.isOver || this.#expired;
  }

  get #choice() {
    return {
      mayComeBack: this.#tally.runs > 0,
      apart: this.#crashes.isSuspected,
    };
  }

  /** Whether the shared budget lets the request be sent once more. */
  #acquireRetry(): boolean {
    return !this.#sender.wasSent || this.#retryPermit.acquire();
  }

  #try(server: ServerRecord): Promise<TryOutcome> {
    return this.#sender.send(server, {
      admitted: this.#admitted,
      apart: this.#crashes.isSuspected,
      leftMs: this.#leftMs(),
      judge: (head) => this.#judge(head),
      permit: this.#retryPermit,
      isRetry: this.#sender.wasSent,
      isExpired: () => this.#expired,
    });
  }

  /** Called again and again while the request runs, to leave servers that it may not run at. */
  check(nowMs: number): void {
    // A stream that has begun, and goes on, shows that the request does not crash its server.
    const begun = this.#sender.hasBegun || !this.#crashes.isStream;
    if (!begun && this.#crashes.isQuarantined) this.#sender.giveUp();
    else this.#checkSilence(nowMs);
  }

  #checkSilence(nowMs: number): void {
    // The run under way counts as well.
    if (!this.#mayRetry(1)) return;
    const reason = this.#sender.silence(this.#admitted, nowMs);
    if (reason === undefined || !this.#hasOther()) return;
    if (!this.#retryPermit.acquire()) return;
    this.#leftRunning = true;
    this.#sender.leaveSilent(reason);
  }

  #judge(head: AnswerHead): HeadVerdict {
    const { status, decoded } = head;
    const { route } = this.#admitted;
    if (status >= 300 || route.kind !== "stream") return "collect";
    if (this.#exchange.state === "begun") return "stream";
    if (this.#wantsLarger(decoded.confidence)) return "turn_down";
    this.#exchange.beginStream(head);
    return "stream";
  }

  #wantsLarger(confidence: number | undefined): boolean {
    // A better answer costs a retry, which others may need to get one at all.
    if (!this.#retryPermit.isSpare) return false;
    const { route } = this.#admitted;
    return this.#models.wantsLarger({
      route,
      confidence,
      usedMs: this.#exchange.ageMs(),
      limitMs: this.#limitMs,
      startMsOf: (model) => this.#sender.predictStartMs(this.#admitted, model),
      runsLeft: route.maxRuns - this.#tally.runs - 1,
    });
  }

  #after(outcome: TryOutcome, server: ServerRecord): Next | Promise<Next> {
    switch (outcome.tag) {
      case "given_up":
        this.#tally.ran();
        return "again";
      case "withheld":
        return "again";
      case "not_sent":
        return this.#mayAskFurther() ? "again" : this.#noFurther();
      case "not_run":
        return this.#tally.notRun() ? "again" : this.#noFurther();
      case "misdirected":
        this.#deps.serverFollower.misdirected(server.instance);
        return "again";
      case "turned_down":
        return this.#escalate();
      case "answered":
        return this.#answered(outcome);
      case "streamed":
        return this.#streamed(outcome);
      case "broken":
        return this.#brokenOff(outcome.reason);
      case "stream_broken":
        return this.#resume(outcome.reason);
    }
  }

  /** Whether to ask another server after one that could not be reached. */
  #mayAskFurther(): boolean {
    const tookMs = this.#sender.lastTryMs;
    const hasSound = this.#sender.hasSound(this.#admitted, this.#choice);
    return this.#tally.notSent({ tookMs, hasSound });
  }

  #escalate(): Next {
    this.#tally.ran();
    this.#models.moveOn();
    this.#sender.forgetTried();
    return "again";
  }

  #answered({ head, body }: { head: AnswerHead; body: Buffer }): Next {
    if (this.#exchange.state === "begun") {
      return this.#resume(`status ${head.status}`);
    }
    this.#tally.ran();
    if (head.status >= 500 && this.#mayRetry() && this.#hasOther()) {
      return "again";
    }
    const whole = head.status < FIRST_ERROR_STATUS && head.decoded.framed;
    if (whole) this.#crashes.endedWell();
    this.#exchange.answer(head, body);
    return "done";
  }

  #streamed({ framed }: { framed: boolean }): Next {
    if (this.#stream.end()) {
      if (framed) this.#crashes.endedWell();
      return "done";
    }
    return this.#resume("stream ended within an event");
  }

  #brokenOff(reason: string): Next {
    this.#tally.ran();
    if (this.#mayRetry()) return "again";
    return this.#finish({ tag: "answer_lost", reason });
  }

  /** Goes on with a stream on another server, inside the same answer. */
  #resume(reason: string): Next {
    this.#tally.ran();
    this.#stream.restart();
    const { route } = this.#admitted;
    if (route.resumable && this.#tally.runs < route.maxRuns) return "again";
    return this.#finish({ tag: "answer_lost", reason });
  }

  /** Whether a request that may have run may be sent again. */
  #mayRetry(underWay = 0): boolean {
    return this.#tally.mayRetry(this.#admitted.route, underWay);
  }

  #hasOther(): boolean {
    const other = this.#sender.chooseOther(this.#admitted, this.#choice);
    return other !== undefined && this.#retryPermit.isAvailable;
  }

  /** Waits for a place, or ends a request that no server takes. */
  async #noServer(
    { reason, opensInMs }: Pick<NoServer, "reason" | "opensInMs">,
  ): Promise<Next> {
    const waitMs = this.#end.noServer({
      reason,
      opensInMs,
      leftMs: this.#leftMs(),
      leftRunning: this.#leftRunning,
    });
    if (waitMs === undefined) return "done";
    await pause(waitMs);
    return "again";
  }

  #timeUp(): Next {
    this.#end.timeUp();
    return "done";
  }

  #finish(refusal: Refusal): Next {
    this.#end.refuse(refusal);
    return "done";
  }

  #expire(): void {
    this.#expired = true;
    if (this.#sender.isSent) this.#tally.leftUnderWay();
    this.#timeUp();
    this.#sender.giveUp();
  }

  #leftMs(): number {
    return this.#limitMs - this.#exchange.ageMs();
  }
}
