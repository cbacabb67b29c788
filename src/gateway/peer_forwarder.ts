/** Sends a request of a caller through another VM, which runs it like one of its own callers'. */

import type { Buffer } from "node:buffer";
import {
  BackendConnection,
  type ExchangeFailure,
  type ExchangeListener,
} from "../backends/backend_connection.ts";
import {
  BODY_TOO_LARGE,
  MEMORY_USED_UP,
  type ResponseCollector,
  type ResponseMemory,
} from "../backends/response_limits.ts";
import type { ServerConnector } from "../backends/server_connector.ts";
import type { EntryId, ServiceId } from "../core/ids.ts";
import type { Member } from "../core/membership/member.ts";
import type { ForwardingPeers } from "../fleet/forwarding_peers.ts";
import {
  decodeBackendHead,
  encodeForwardedRequestHeaders,
} from "../platform/header_wire.ts";
import type { VmSettings } from "../platform/vm_settings_wire.ts";
import {
  encodeForwardOrigin,
  FORWARD_DECLINED_HEADER,
  FORWARD_ORIGIN_HEADER,
} from "../protocol/forward_schema.ts";
import type { ResponseHeaders } from "../runtime/response_framing.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import type { Dispatch, DispatchRecord } from "./dispatch_record.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";

/** VMs that are asked for one request. */
const MAX_PEERS = 3;
/** The other VM ends the request this much earlier, so that its answer is not too late here. */
const ANSWER_MARGIN_MS = 5;

/** Dependencies shared by all forwarders. */
export interface PeerForwarderDeps {
  readonly vmSettings: VmSettings;
  readonly forwardingPeers: ForwardingPeers;
  /** Opens connections to other VMs. */
  readonly peerConnector: ServerConnector;
  readonly gatewayMetrics: GatewayMetrics;
  readonly responseMemory: ResponseMemory;
}

/** Result of forwarding a request. */
export type ForwardOutcome =
  /** The caller has an answer, or at least its beginning. */
  | { readonly tag: "answered" }
  /** No VM took the request, and no server has received it. */
  | { readonly tag: "declined" }
  /** A server may have received the request, and its answer is lost. */
  | { readonly tag: "broken"; readonly reason: string };

/** How a request is forwarded. */
export interface ForwardOptions {
  readonly configurationVersion: number;
  /** Whether this VM has counted the request towards its retry budget. */
  readonly isCounted: boolean;
  /** Returns the time until the request expires, in milliseconds. */
  readonly leftMs: () => number;
}

/** Forwards one request. */
export class PeerForwarder {
  readonly #deps: PeerForwarderDeps;
  readonly #exchange: CallerExchange;
  readonly #body: Buffer | undefined;
  readonly #service: ServiceId;
  readonly #dispatches: DispatchRecord;
  readonly #asked = new Set<EntryId>();
  #current: ForwardAttempt | undefined;
  #vm: EntryId | undefined;

  constructor(
    deps: PeerForwarderDeps,
    { exchange, body, service, dispatches }: {
      exchange: CallerExchange;
      body: Buffer | undefined;
      service: ServiceId;
      dispatches: DispatchRecord;
    },
  ) {
    this.#deps = deps;
    this.#exchange = exchange;
    this.#body = body;
    this.#service = service;
    this.#dispatches = dispatches;
  }

  /** VM that was asked last; undefined if none was. */
  get vm(): EntryId | undefined {
    return this.#vm;
  }

  /** Asks one VM after another until one takes the request. */
  async run(options: ForwardOptions): Promise<ForwardOutcome> {
    const { forwardingPeers, gatewayMetrics } = this.#deps;
    while (this.#asked.size < MAX_PEERS && !this.#exchange.isFinished) {
      const peer = forwardingPeers.choose(this.#service, this.#asked);
      if (peer === undefined) break;
      this.#asked.add(peer.id);
      this.#vm = peer.id;
      const outcome = await this.#ask(peer, options);
      gatewayMetrics.forwardedRequests.inc({ outcome: outcome.tag });
      if (outcome.tag !== "declined") return outcome;
      forwardingPeers.recordDeclined(peer.id, this.#service);
    }
    return { tag: "declined" };
  }

  /** Ends the exchange and resets its connection, on which the other VM stops its work. */
  abort(): void {
    this.#current?.abort();
  }

  async #ask(
    peer: Member,
    { configurationVersion, isCounted, leftMs }: ForwardOptions,
  ): Promise<ForwardOutcome> {
    const { vmSettings, peerConnector, responseMemory } = this.#deps;
    const { method, url, host, rawHeaders } = this.#exchange;
    const origin = { vm: vmSettings.vm, configurationVersion, isCounted };
    const headers = encodeForwardedRequestHeaders(rawHeaders, {
      host,
      remainingMs: leftMs() - ANSWER_MARGIN_MS,
    });
    headers.push(FORWARD_ORIGIN_HEADER, encodeForwardOrigin(origin));
    // Always a new connection: a kept one may be closing, which leaves unclear what was received.
    const connection = new BackendConnection(peer.peers, {
      connector: peerConnector,
      onLost: (lost) => lost.destroy(),
    });
    this.#current = new ForwardAttempt(this.#exchange, {
      connection,
      responseMemory,
      dispatch: this.#dispatches.prepare(),
    });
    return await this.#current.run({
      method,
      path: url,
      headers,
      body: this.#body,
    });
  }
}

/** One exchange with another VM, whose answer goes to the caller. */
class ForwardAttempt implements ExchangeListener {
  readonly #exchange: CallerExchange;
  readonly #connection: BackendConnection;
  readonly #collector: ResponseCollector;
  readonly #dispatch: Dispatch;
  #head: { status: number; headers: ResponseHeaders } | undefined;
  #isStreamed = false;
  #done = false;
  #resolve: (outcome: ForwardOutcome) => void = () => {};

  constructor(
    exchange: CallerExchange,
    { connection, responseMemory, dispatch }: {
      connection: BackendConnection;
      responseMemory: ResponseMemory;
      dispatch: Dispatch;
    },
  ) {
    this.#exchange = exchange;
    this.#connection = connection;
    this.#collector = responseMemory.collect(() =>
      this.#finish({ tag: "broken", reason: MEMORY_USED_UP })
    );
    this.#dispatch = dispatch;
  }

  run(req: Parameters<BackendConnection["send"]>[0]): Promise<ForwardOutcome> {
    return new Promise((resolve) => {
      this.#resolve = resolve;
      this.#connection.send(req, this);
    });
  }

  abort(): void {
    this.#finish(
      this.#dispatch.hasBegun
        ? { tag: "broken", reason: "aborted" }
        : { tag: "declined" },
    );
  }

  onSending(): boolean {
    if (this.#done) return false;
    this.#dispatch.begin();
    return true;
  }

  onHead(status: number, headers: ResponseHeaders): void {
    if (this.#done) return;
    if (headers[FORWARD_DECLINED_HEADER] !== undefined) {
      return this.#finish({ tag: "declined" });
    }
    this.#head = { status, headers };
    const { isEventStream } = decodeBackendHead(headers);
    this.#isStreamed = status < 300 && isEventStream;
    if (this.#isStreamed) this.#exchange.beginStream({ status, headers });
  }

  onData(chunk: Buffer): void {
    if (this.#done) return;
    if (!this.#isStreamed) {
      if (this.#collector.add(chunk)) return;
      this.#finish({ tag: "broken", reason: BODY_TOO_LARGE });
      return;
    }
    if (this.#exchange.write(chunk)) return;
    this.#connection.setPaused(true);
    this.#exchange.onDrain(() => {
      if (!this.#done) this.#connection.setPaused(false);
    });
  }

  onEnd(): void {
    if (this.#done) return;
    if (this.#isStreamed) this.#exchange.endStream();
    else if (this.#head !== undefined) {
      this.#exchange.respond(this.#head, this.#collector.take());
    }
    this.#finish({ tag: "answered" });
  }

  onFailure(failure: ExchangeFailure): void {
    if (this.#done) return;
    this.#finish(
      failure.tag === "broken" || failure.tag === "invalid"
        ? { tag: "broken", reason: failure.reason }
        : { tag: "declined" },
    );
  }

  #finish(outcome: ForwardOutcome): void {
    if (this.#done) return;
    this.#done = true;
    if (outcome.tag === "declined") this.#dispatch.confirmNotRun();
    this.#connection.destroy();
    this.#collector.discard();
    this.#resolve(outcome);
  }
}
