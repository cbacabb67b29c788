/** Sends one request to servers, one after the other, and keeps what became of it. */

import type { Buffer } from "node:buffer";
import type { BackendRequest } from "../backends/backend_connection.ts";
import type { BackendConnections } from "../backends/backend_connections.ts";
import {
  type AnswerHead,
  BackendTry,
  type HeadVerdict,
  type TryOutcome,
} from "../backends/backend_try.ts";
import type { InstanceId, ModelId, ServiceId } from "../core/ids.ts";
import { mayRunAgain } from "../core/routes/route.ts";
import type { ServerLoads } from "../core/servers/server_loads.ts";
import type { ServerRecord } from "../core/servers/server_record.ts";
import type { StallReason } from "../core/servers/server_stall_detector.ts";
import type { PlaceBorrower } from "../fleet/place_borrower.ts";
import { encodeBackendRequest } from "../platform/header_wire.ts";
import type { Clock } from "../runtime/clock.ts";
import type { AttemptAcks } from "./attempt_acks.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import type { ModelChoice } from "./model_choice.ts";
import type { Admitted } from "./request_admission.ts";
import type { RetryPermit } from "./retry_permit.ts";
import type { ServerGate } from "./server_gate.ts";
import type { ServerNotices } from "./server_notices.ts";
import type { Selection, ServerSelector } from "./server_selector.ts";
import type { SuspectPlaces } from "./suspect_places.ts";
import type { StreamRelay } from "./stream_relay.ts";
import type { ObservedTry, TryObserver } from "./try_observer.ts";
import { endTryRecord, newTryRecord, type TryRecord } from "./try_record.ts";
import type { TrySilence } from "./try_silence.ts";
import type { PredictedWork, WorkPredictor } from "./work_predictor.ts";

/** Least urgent class that servers know. */
const LEAST_URGENT = 9;
/** Statuses from here on tell that the server has failed. */
const FIRST_FAILURE_STATUS = 500;
/** Why nothing is sent where no process listens any more. */
const REFUSED = "ECONNREFUSED";
const NONE: ReadonlySet<InstanceId> = new Set();

/** What all senders share. */
export interface TrySenderDeps {
  readonly serverSelector: ServerSelector;
  readonly serverGate: ServerGate;
  readonly placeBorrower: PlaceBorrower;
  readonly suspectPlaces: SuspectPlaces;
  readonly backendConnections: BackendConnections;
  readonly tryObserver: TryObserver;
  readonly trySilence: TrySilence;
  readonly attemptAcks: AttemptAcks;
  readonly serverNotices: ServerNotices;
  readonly serverLoads: ServerLoads;
  readonly workPredictor: WorkPredictor;
  readonly clock: Clock;
}

/** What stays the same over all tries of a request. */
export interface SentRequest {
  readonly exchange: CallerExchange;
  readonly body: Buffer | undefined;
  readonly service: ServiceId;
  readonly models: ModelChoice;
  readonly stream: StreamRelay;
}

/** What a server is chosen by, besides the request. */
export interface ChoiceTerms {
  /** Whether a server may be chosen again that was tried. */
  readonly mayComeBack: boolean;
  /** Whether the request keeps away from others under which servers have ended. */
  readonly apart: boolean;
}

/** What holds for one try. */
export interface TryTerms {
  readonly admitted: Admitted;
  /** Time that the request has left, in milliseconds. */
  readonly leftMs: number;
  /** Decides by the head of an answer. */
  readonly judge: (head: AnswerHead) => HeadVerdict;
  /** Whether others under which servers have ended keep away from this one. */
  readonly apart: boolean;
  /** Pays for the attempt at its first byte, where it is a retry. */
  readonly permit: RetryPermit;
  /** Whether servers may have read the request before. */
  readonly isRetry: boolean;
  /** Whether the time of the request is up, asked when the try has ended. */
  readonly isExpired: () => boolean;
}

/** Makes the tries of one request. */
export class TrySender {
  readonly #deps: TrySenderDeps;
  readonly #request: SentRequest;
  readonly #tried = new Set<InstanceId>();
  readonly #tries: TryRecord[] = [];
  #current: BackendTry | undefined;
  /** Server of the last try. */
  #server: ServerRecord | undefined;

  constructor(deps: TrySenderDeps, request: SentRequest) {
    this.#deps = deps;
    this.#request = request;
  }

  /** Tries made so far. */
  get tries(): readonly TryRecord[] {
    return this.#tries;
  }

  /** Whether an attempt was made that a server may have read. */
  get wasSent(): boolean {
    return this.#tries.some(({ outcome }) =>
      outcome !== "withheld" && outcome !== "not_sent"
    );
  }

  /** Whether bytes of the try under way may have reached its server. */
  get isSent(): boolean {
    return this.#current?.sent ?? false;
  }

  /** Time since the last try began, in milliseconds. */
  get lastTryMs(): number {
    const nowMs = this.#deps.clock.monotonicMs();
    return nowMs - (this.#tries.at(-1)?.startedMs ?? nowMs);
  }

  /** Whether a byte of the answer has come in the last try. */
  get hasBegun(): boolean {
    return this.#tries.at(-1)?.firstByteMs !== undefined;
  }

  /**
   * Returns the server for the next try. One that was tried already comes only where no
   * other is left and the request `mayComeBack` to it.
   */
  choose(admitted: Admitted, terms: ChoiceTerms): ServerRecord | undefined {
    const other = this.chooseOther(admitted, terms);
    if (other !== undefined || !terms.mayComeBack) return other;
    const { model } = this.#request.models;
    return this.#select(admitted, { tried: NONE, model });
  }

  /** The same, but never the server that was tried last. */
  chooseOther(
    admitted: Admitted,
    { mayComeBack, apart }: ChoiceTerms,
  ): ServerRecord | undefined {
    const { model } = this.#request.models;
    if (apart) {
      const { taken } = this.#deps.suspectPlaces;
      const tried = new Set([...this.#tried, ...taken]);
      const alone = this.#select(admitted, { tried, model });
      if (alone !== undefined) return alone;
    }
    const untried = this.#select(admitted, { tried: this.#tried, model });
    if (untried !== undefined || !mayComeBack) return untried;
    const last = this.#tries.at(-1)?.server;
    const tried = last === undefined ? NONE : new Set([last]);
    return this.#select(admitted, { tried, model });
  }

  /** Whether a server is left that was not tried and is not avoided. */
  hasSound(admitted: Admitted, { apart }: ChoiceTerms): boolean {
    const { serverLoads, clock } = this.#deps;
    const server = this.chooseOther(admitted, { mayComeBack: false, apart });
    return server !== undefined &&
      !serverLoads.isEjected(server.instance, clock.monotonicMs());
  }

  /** Time until a model would begin to answer on the server that would be chosen. */
  predictStartMs(admitted: Admitted, model: ModelId): number {
    const work = this.#predictWork(admitted, model);
    const server = this.#select(admitted, { tried: NONE, model });
    if (server === undefined) return Infinity;
    const { serverLoads, serverSelector } = this.#deps;
    const { head } = this.#request.exchange;
    const held = serverSelector.holds(server, { head, model });
    return serverLoads.work(server.instance) + work.readMs +
      (held ? 0 : work.sharedMs);
  }

  /** Borrows a place for the request from another VM; returns whether it could. */
  borrow(admitted: Admitted, { mayComeBack }: ChoiceTerms): Promise<boolean> {
    const { serverSelector, placeBorrower } = this.#deps;
    const { model } = this.#request.models;
    const tried = mayComeBack ? NONE : this.#tried;
    const selection = this.#selection(admitted, { tried, model });
    return placeBorrower.borrow(serverSelector.lacking(selection));
  }

  /** Milliseconds until a server takes the request, where all rest or are cold. */
  opensInMs(admitted: Admitted): number | undefined {
    const { model } = this.#request.models;
    return this.#deps.serverSelector.opensInMs(
      this.#selection(admitted, { tried: NONE, model }),
    );
  }

  /** Lets servers be used again that were tried, as with another model. */
  forgetTried(): void {
    this.#tried.clear();
  }

  /** Sends the request; resolves when the try has ended. */
  async send(server: ServerRecord, terms: TryTerms): Promise<TryOutcome> {
    const {
      backendConnections,
      tryObserver,
      serverGate,
      serverNotices,
      suspectPlaces,
      attemptAcks,
    } = this.#deps;
    const { exchange, stream } = this.#request;
    const observed = this.#observe(server, terms.admitted);
    this.#server = server;
    this.#tries.push(observed.record);
    this.#tried.add(server.instance);
    const place = serverGate.sending(server);
    if (terms.apart) suspectPlaces.begin(server.instance);
    tryObserver.began(observed);
    this.#current = new BackendTry(backendConnections, {
      server,
      request: this.#backendRequest(server, terms),
      attempt: exchange.head.attempt,
      // What must not run twice is not risked on a connection that may just be closing.
      fresh: !mayRunAgain(terms.admitted.route),
      // While the connection came up, its server may have asked for rest or less, or may leave.
      maySend: () => {
        const maySend = serverGate.maySend(server, place) &&
          this.#mayRetry(server, terms);
        if (maySend) this.#noteSent(observed, terms);
        return maySend;
      },
      sink: {
        judge: (head) => {
          observed.record.confidence = head.decoded.confidence;
          serverGate.took(server, observed.record.startedMs);
          if (head.status < FIRST_FAILURE_STATUS) {
            serverNotices.answered(
              server,
              head.notice,
              observed.record.startedMs,
            );
          }
          return terms.judge(head);
        },
        write: (chunk) => stream.write(chunk, () => this.#readOn(observed)),
        onNotice: (notice) => {
          observed.record.limitPerS = notice.limitPerS;
          serverNotices.heard(server, notice);
        },
        onProgress: () => {
          tryObserver.byteCame(observed);
          attemptAcks.answered(server, observed.record);
        },
        onClosed: () => attemptAcks.closed(server, observed.record),
      },
    });
    const outcome = await this.#current.run();
    this.#current = undefined;
    place.release();
    if (outcome.tag === "withheld") this.#tried.delete(server.instance);
    if (terms.apart) suspectPlaces.end(server.instance);
    if (outcome.tag === "not_sent" && outcome.reason === REFUSED) {
      attemptAcks.ended(server);
    }
    endTryRecord(observed.record, outcome);
    tryObserver.ended(observed, { outcome, expired: terms.isExpired() });
    return outcome;
  }

  #mayRetry(server: ServerRecord, { isRetry, permit }: TryTerms): boolean {
    if (!isRetry) return true;
    return !this.#deps.attemptAcks.isUnresponsive(server) && permit.send();
  }

  #noteSent({ server, record }: ObservedTry, { permit }: TryTerms): void {
    this.#deps.attemptAcks.sent(server, {
      record,
      onAcked: () => permit.attemptArrived(),
    });
  }

  /** Reads on after a pause that was the caller's, and so is not held against the server. */
  #readOn({ record }: ObservedTry): void {
    record.byteMs = this.#deps.clock.monotonicMs();
    this.#current?.resume();
  }

  /** Gives the try up that is under way, if there is one. */
  giveUp(outcome?: TryOutcome): void {
    this.#current?.giveUp(outcome);
  }

  /** Gives the try up that is under way, as its server has fallen silent. */
  leaveSilent(reason: StallReason): void {
    const streaming = this.#request.exchange.state === "begun";
    this.giveUp({ tag: streaming ? "stream_broken" : "broken", reason });
  }

  /** Says why the try under way should be given up as silent, if it should. */
  silence(
    { table, route }: Admitted,
    nowMs: number,
  ): StallReason | undefined {
    const record = this.#tries.at(-1);
    const server = this.#server;
    if (record === undefined || server === undefined) return undefined;
    if (!this.isSent || this.#current?.paused === true) return undefined;
    const { service } = this.#request;
    const hasEngine = table.service(service)?.engine !== undefined;
    const waiting = { server, record, route, hasEngine };
    return this.#deps.trySilence.judge(waiting, nowMs);
  }

  #select(
    admitted: Admitted,
    { tried, model }: {
      tried: ReadonlySet<InstanceId>;
      model: ModelId | undefined;
    },
  ): ServerRecord | undefined {
    return this.#deps.serverSelector.choose(
      this.#selection(admitted, { tried, model }),
    );
  }

  #selection(
    admitted: Admitted,
    { tried, model }: Pick<Selection, "tried" | "model">,
  ): Selection {
    const { exchange, service } = this.#request;
    const { sharedMs } = this.#predictWork(admitted, model);
    const { head } = exchange;
    return { service, head, model, tried, isRetry: this.wasSent, sharedMs };
  }

  #observe(server: ServerRecord, admitted: Admitted): ObservedTry {
    const { exchange, service, models } = this.#request;
    const { model } = models;
    const { clock, serverLoads } = this.#deps;
    const work = this.#predictWork(admitted, model);
    // Its own shared parts included: whether the server holds them is not known for sure.
    const expectedMs = serverLoads.work(server.instance) + work.readMs +
      work.sharedMs;
    return {
      server,
      service,
      route: admitted.route.id,
      head: exchange.head,
      record: newTryRecord(server, {
        model,
        startedMs: clock.monotonicMs(),
        expectedMs,
      }),
      work,
    };
  }

  #predictWork(
    { table }: Admitted,
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
    { admitted, leftMs }: TryTerms,
  ): BackendRequest {
    const { exchange, body, models, stream } = this.#request;
    const { method, url, host, rawHeaders } = exchange;
    const { account, route, priority } = admitted;
    const headers = encodeBackendRequest(rawHeaders, {
      host,
      instance,
      waitMs: leftMs,
      account,
      urgency: route.kind === "stream"
        ? Math.min(LEAST_URGENT, priority)
        : undefined,
      model: models.model,
      lastEvent: stream.lastEvent,
    });
    return { method, path: url, headers, body };
  }
}
