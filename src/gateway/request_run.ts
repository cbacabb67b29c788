/** One caller's request on its way through one or more tries. */

import type { Buffer } from "node:buffer";
import { escalateTo, firstModel } from "../core/cascade/model_ladder.ts";
import type { ModelPace } from "../core/cascade/model_pace.ts";
import type {
  AccountId,
  InstanceId,
  ModelId,
  RouteId,
  ServiceId,
} from "../core/ids.ts";
import type { RepeatBudget } from "../core/limits/repeat_budget.ts";
import type { Refusal } from "../core/refusal.ts";
import {
  kindOf,
  type SilenceReason,
  type SilenceWatch,
} from "../core/servers/silence.ts";
import { mayRunAgain } from "../core/routes/route.ts";
import type { ServerRecord } from "../core/servers/server_record.ts";
import type { BackendConnections } from "../backends/backend_connections.ts";
import {
  type AnswerHead,
  BackendTry,
  type HeadVerdict,
  type TryOutcome,
} from "../backends/backend_try.ts";
import { EventSplitter } from "../backends/event_splitter.ts";
import { encodeBackendRequest } from "../platform/header_wire.ts";
import type { ServerFollower } from "../store/server_follower.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import type { Admitted, RequestAdmission } from "./request_admission.ts";
import type { ServerSelector } from "./server_selector.ts";
import { type PredictedWork, predictWork } from "./predicted_work.ts";
import type { RequestLog } from "./request_log.ts";
import type { ObservedTry, TryObserver } from "./try_observer.ts";
import { endTryRecord, newTryRecord, type TryRecord } from "./try_record.ts";

/** Wait of a caller that names none and whose route names none, in milliseconds. */
const DEFAULT_WAIT_MS = 30_000;
/** Shortest time with which a request is still sent to a server, in milliseconds. */
const MIN_WAIT_MS = 20;
/** Servers asked for one request while each says that it did not run it. */
const MAX_REFUSALS = 3;

const NONE: ReadonlySet<InstanceId> = new Set();

/** What all runs share. */
export interface RequestRunDeps {
  readonly requestAdmission: RequestAdmission;
  readonly serverSelector: ServerSelector;
  readonly backendConnections: BackendConnections;
  readonly serverFollower: ServerFollower;
  readonly repeatBudget: RepeatBudget;
  readonly tryObserver: TryObserver;
  readonly modelPace: ModelPace;
  readonly silenceWatch: SilenceWatch;
  readonly requestLog: RequestLog;
  readonly clock: Clock;
  readonly logger: Logger;
}

type Next = "again" | "done";

/** Runs one admitted request to its end. */
export class RequestRun {
  readonly #deps: RequestRunDeps;
  readonly #exchange: CallerExchange;
  readonly #body: Buffer | undefined;
  readonly #service: ServiceId;
  readonly #deadlineMs: number;
  readonly #tried = new Set<InstanceId>();
  readonly #tries: TryRecord[] = [];
  #admitted: Admitted;
  #model: ModelId | undefined;
  /** Larger model to ask instead, once a head was turned down. */
  #escalation: ModelId | undefined;
  #current: BackendTry | undefined;
  #splitter = new EventSplitter();
  #lastEvent: string | undefined;
  #runs = 0;
  #refusals = 0;
  #unsent = 0;
  #mayHaveRun = false;
  #expired = false;
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
    this.#body = body;
    this.#admitted = admitted;
    this.#service = deps.serverSelector.serviceFor(admitted.route);
    const { head, arrivedMs } = exchange;
    const waitMs = Math.min(
      head.waitMs ?? DEFAULT_WAIT_MS,
      admitted.route.timeLimitMs ?? Infinity,
    );
    this.#deadlineMs = arrivedMs + waitMs;
    if (head.choosesModel) this.#model = firstModel(admitted.route);
    this.#lastEvent = head.lastEvent;
  }

  /** Tries made so far. */
  get tries(): readonly TryRecord[] {
    return this.#tries;
  }

  /** Service that the request goes to. */
  get service(): ServiceId {
    return this.#service;
  }

  /** Route that the request takes. */
  get route(): RouteId {
    return this.#admitted.route.id;
  }

  /** Client account of the request, where its route needs one. */
  get account(): AccountId | undefined {
    return this.#admitted.account;
  }

  /** Version of the configuration by which it was last admitted. */
  get configurationVersion(): number {
    return this.#admitted.table.version;
  }

  /** Time since that configuration was confirmed as the newest, in milliseconds. */
  get confirmedAgeMs(): number {
    return this.#admitted.confirmedAgeMs;
  }

  /** Time within which the request had to end, in milliseconds. */
  get limitMs(): number {
    return this.#deadlineMs - this.#exchange.arrivedMs;
  }

  /** Repeats that the service could still have had. */
  get budgetLeft(): number {
    const { repeatBudget, clock } = this.#deps;
    return repeatBudget.left(this.#service, clock.monotonicMs());
  }

  /** Runs to the end; the caller has its answer then, or is gone. */
  async run(): Promise<void> {
    const { repeatBudget, clock } = this.#deps;
    repeatBudget.countRequest(this.#service, clock.monotonicMs());
    this.#timer = setTimeout(() => this.#expire(), this.#leftMs());
    this.#exchange.onGone(() => this.#current?.giveUp());
    try {
      while (await this.#step() === "again");
    } finally {
      clearTimeout(this.#timer);
    }
  }

  async #step(): Promise<Next> {
    const { state } = this.#exchange;
    if (state === "caller_gone" || state === "ended") return "done";
    if (this.#expired || this.#leftMs() < MIN_WAIT_MS) return this.#timeUp();
    const admitted = this.#deps.requestAdmission.admit(this.#exchange);
    if (!admitted.ok) return this.#finish(admitted.error);
    this.#admitted = admitted.value;
    const server = this.#choose();
    if (server === undefined) return this.#noServer();
    if (!this.#mayTry()) return this.#noServer();
    const outcome = await this.#try(server);
    return this.#after(outcome, server);
  }

  /** Returns the server for the next try; one that was tried only where no other is left. */
  #choose(): ServerRecord | undefined {
    const untried = this.#select(this.#tried);
    if (untried !== undefined || this.#runs === 0) return untried;
    return this.#select(NONE);
  }

  #select(tried: ReadonlySet<InstanceId>): ServerRecord | undefined {
    return this.#deps.serverSelector.choose({
      service: this.#service,
      head: this.#exchange.head,
      model: this.#model,
      tried,
      sharedMs: this.#predictWork().sharedMs,
    });
  }

  /** Whether the shared budget lets the request be sent once more. */
  #mayTry(): boolean {
    if (this.#tries.length === 0) return true;
    const { repeatBudget, clock } = this.#deps;
    return repeatBudget.spend(this.#service, clock.monotonicMs());
  }

  async #try(server: ServerRecord): Promise<TryOutcome> {
    const { backendConnections, tryObserver, clock } = this.#deps;
    const { route } = this.#admitted;
    const startedMs = clock.monotonicMs();
    const record = newTryRecord(server, { model: this.#model, startedMs });
    const observed: ObservedTry = {
      server,
      service: this.#service,
      route: route.id,
      head: this.#exchange.head,
      record,
      work: this.#predictWork(),
    };
    this.#tries.push(record);
    this.#tried.add(server.instance);
    tryObserver.began(observed);
    this.#current = new BackendTry(backendConnections, {
      server,
      request: this.#backendRequest(server),
      attempt: this.#exchange.head.attempt,
      // What must not run twice is not risked on a connection that may just be closing.
      fresh: !mayRunAgain(route),
      sink: {
        judge: (head) => this.#judge(head, record),
        write: (chunk) => this.#passOn(chunk),
        onProgress: () => tryObserver.byteCame(observed),
      },
    });
    const outcome = await this.#current.run();
    this.#current = undefined;
    endTryRecord(record, outcome);
    tryObserver.ended(observed, { outcome, expired: this.#expired });
    return outcome;
  }

  /** Called again and again while the request runs, to notice silent servers. */
  look(nowMs: number): void {
    const record = this.#tries.at(-1);
    const current = this.#current;
    if (current === undefined || record === undefined || !current.sent) return;
    if (!this.#mayRepeat(1)) return;
    const reason = this.#deps.silenceWatch.judge({
      instance: record.server,
      kind: kindOf(this.#admitted.route.id, record.model),
      sentMs: record.startedMs,
      targetMs: this.#admitted.route.targetMs,
      byteMs: record.byteMs,
    }, nowMs);
    if (reason !== undefined) this.#leaveSilent(reason, current);
  }

  #leaveSilent(reason: SilenceReason, current: BackendTry): void {
    const { repeatBudget, clock } = this.#deps;
    const left = repeatBudget.left(this.#service, clock.monotonicMs());
    if (left < 1 || this.#choose() === undefined) return;
    const streaming = this.#exchange.state === "begun";
    current.giveUp({ tag: streaming ? "stream_broken" : "broken", reason });
  }

  #predictWork(): PredictedWork {
    return predictWork(this.#exchange.head, {
      service: this.#admitted.table.service(this.#service),
      model: this.#model,
    });
  }

  #backendRequest(server: ServerRecord) {
    const { method, url, host, rawHeaders } = this.#exchange;
    const { account, route } = this.#admitted;
    return {
      method,
      path: url,
      body: this.#body,
      headers: encodeBackendRequest(rawHeaders, {
        host,
        instance: server.instance,
        waitMs: this.#leftMs(),
        account,
        urgency: route.kind === "stream"
          ? Math.min(9, this.#admitted.priority)
          : undefined,
        model: this.#exchange.head.choosesModel ? this.#model : undefined,
        lastEvent: this.#lastEvent,
      }),
    };
  }

  #judge(head: AnswerHead, record: TryRecord): HeadVerdict {
    const { status, decoded } = head;
    const { route } = this.#admitted;
    record.confidence = decoded.confidence;
    if (status >= 300 || route.kind !== "stream") return "collect";
    if (this.#exchange.state === "begun") return "stream";
    this.#escalation = this.#larger(decoded.confidence);
    if (this.#escalation !== undefined) return "turn_down";
    this.#exchange.beginStream(head);
    return "stream";
  }

  #larger(confidence: number | undefined): ModelId | undefined {
    const { route } = this.#admitted;
    if (this.#model === undefined || !mayRunAgain(route)) return undefined;
    const { repeatBudget, clock } = this.#deps;
    if (repeatBudget.left(this.#service, clock.monotonicMs()) < 1) {
      return undefined;
    }
    const { head, arrivedMs } = this.#exchange;
    const limitMs = this.#deadlineMs - arrivedMs;
    const largest = route.models.at(-1);
    return escalateTo({
      models: route.models,
      model: this.#model,
      confidence,
      usedMs: this.#exchange.ageMs(),
      targetMs: route.targetMs ?? limitMs,
      limitMs,
      largest: largest === undefined
        ? undefined
        : this.#deps.modelPace.predict(route.id, {
          model: largest,
          promptTokens: head.promptTokens,
          outputTokens: head.outputTokens,
        }),
      runsLeft: route.maxRuns - this.#runs - 1,
    });
  }

  #passOn(chunk: Buffer): boolean {
    const whole = this.#splitter.push(chunk);
    if (whole === undefined) return true;
    this.#lastEvent = whole.lastId ?? this.#lastEvent;
    if (this.#exchange.write(whole.bytes)) return true;
    this.#exchange.onDrain(() => this.#current?.resume());
    return false;
  }

  #after(outcome: TryOutcome, server: ServerRecord): Next {
    switch (outcome.tag) {
      case "given_up":
        this.#runs += 1;
        this.#mayHaveRun = true;
        return "again";
      case "not_sent":
        this.#unsent += 1;
        return this.#unsent > MAX_REFUSALS ? this.#noServer() : "again";
      case "not_run":
        this.#refusals += 1;
        return this.#refusals >= MAX_REFUSALS ? this.#noServer() : "again";
      case "misdirected":
        this.#deps.serverFollower.misdirected(server.instance);
        return "again";
      case "turned_down":
        return this.#escalate();
      case "answered":
        return this.#answered(outcome);
      case "streamed":
        return this.#streamed();
      case "broken":
        return this.#brokenOff(outcome.reason);
      case "stream_broken":
        return this.#resume(outcome.reason);
    }
  }

  #escalate(): Next {
    this.#runs += 1;
    this.#mayHaveRun = true;
    this.#model = this.#escalation;
    this.#escalation = undefined;
    this.#tried.clear();
    return "again";
  }

  #answered({ head, body }: { head: AnswerHead; body: Buffer }): Next {
    if (this.#exchange.state === "begun") {
      return this.#resume(`status ${head.status}`);
    }
    this.#runs += 1;
    this.#mayHaveRun = true;
    if (head.status >= 500 && this.#mayRepeat() && this.#hasOther()) {
      return "again";
    }
    this.#exchange.answer(head, body);
    return "done";
  }

  #streamed(): Next {
    // Bytes behind the last whole event were cut off by the server.
    const rest = this.#splitter.rest();
    if (rest.length > 0) return this.#resume("stream ended within an event");
    this.#exchange.endStream();
    return "done";
  }

  #brokenOff(reason: string): Next {
    this.#runs += 1;
    this.#mayHaveRun = true;
    if (this.#mayRepeat()) return "again";
    return this.#finish({ tag: "answer_lost", reason });
  }

  /** Goes on with a stream on another server, inside the same answer. */
  #resume(reason: string): Next {
    this.#runs += 1;
    this.#splitter = new EventSplitter();
    const { route } = this.#admitted;
    if (route.resumable && this.#runs < route.maxRuns) return "again";
    this.#deps.logger.info("Stream is cut", { reason, runs: this.#runs });
    this.#exchange.cut();
    return "done";
  }

  /** Whether a request that may have run may be sent again. */
  #mayRepeat(underWay = 0): boolean {
    const { route } = this.#admitted;
    return mayRunAgain(route) && this.#runs + underWay < route.maxRuns;
  }

  #hasOther(): boolean {
    const { repeatBudget, clock } = this.#deps;
    return this.#choose() !== undefined &&
      repeatBudget.left(this.#service, clock.monotonicMs()) >= 1;
  }

  #noServer(): Next {
    if (this.#mayHaveRun) {
      return this.#finish({
        tag: "answer_lost",
        reason: "no further server takes it",
      });
    }
    const asked = this.#refusals + this.#unsent;
    return this.#finish(
      asked > 0 ? { tag: "servers_full", asked } : { tag: "no_server" },
    );
  }

  #timeUp(): Next {
    return this.#finish(
      this.#mayHaveRun ? { tag: "expired" } : { tag: "expired_unsent" },
    );
  }

  /** Gives the final answer, or cuts a stream that has begun. */
  #finish(refusal: Refusal): Next {
    if (this.#exchange.state === "begun") this.#exchange.cut();
    else this.#exchange.refuse(refusal);
    this.#deps.requestLog.refused(this.#exchange, refusal);
    return "done";
  }

  #expire(): void {
    this.#expired = true;
    const sent = this.#current?.sent ?? false;
    if (sent) this.#mayHaveRun = true;
    this.#timeUp();
    this.#current?.giveUp();
  }

  #leftMs(): number {
    return this.#deadlineMs - this.#deps.clock.monotonicMs();
  }
}
