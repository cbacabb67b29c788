/** Decides whether a request goes through another VM because this one reaches no server. */

import type { Buffer } from "node:buffer";
import type { EntryId, ServiceId } from "../core/ids.ts";
import type { ServerReachability } from "../core/servers/server_reachability.ts";
import type { AttemptSender } from "./attempt_sender.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import type { DispatchRecord } from "./dispatch_record.ts";
import { PeerForwarder, type PeerForwarderDeps } from "./peer_forwarder.ts";
import type { RequestFinisher } from "./request_finisher.ts";
import type { RequestLog } from "./request_log.ts";
import type { RetryPermit } from "./retry_permit.ts";
import type { RunTally } from "./run_tally.ts";

/** Reason given when no server of the service can be reached from this VM. */
export const UNREACHABLE = "no server is reachable from this VM";

/** Dependencies shared by all requests. */
export interface ForwardingFallbackDeps extends PeerForwarderDeps {
  readonly serverReachability: ServerReachability;
  readonly requestLog: RequestLog;
}

/** The parts of a request's run that the decision depends on. */
export interface ForwardedRun {
  readonly exchange: CallerExchange;
  readonly body: Buffer | undefined;
  readonly service: ServiceId;
  readonly dispatches: DispatchRecord;
  readonly sender: AttemptSender;
  readonly tally: RunTally;
  readonly permit: RetryPermit;
  readonly end: RequestFinisher;
}

/** Forwards one request at most once. */
export class ForwardingFallback {
  readonly #deps: ForwardingFallbackDeps;
  readonly #run: ForwardedRun;
  readonly #forwarding: PeerForwarder;
  #isTried = false;

  constructor(deps: ForwardingFallbackDeps, run: ForwardedRun) {
    this.#deps = deps;
    this.#run = run;
    this.#forwarding = new PeerForwarder(deps, run);
  }

  /** VM that was asked last; undefined if none was. */
  get vm(): EntryId | undefined {
    return this.#forwarding.vm;
  }

  /** Whether the request should go through another VM, as none of its servers is reachable. */
  get isNeeded(): boolean {
    const { serverReachability } = this.#deps;
    return this.#isAllowed && serverReachability.isLost(this.#run.service);
  }

  /** Whether to ask another VM before a request is refused, as connections to servers failed. */
  get isLastResort(): boolean {
    return this.#isAllowed && this.#run.sender.hasFailedToConnect;
  }

  /** Whether a search for a reachable server would only delay the refusal. */
  get isSearchSlow(): boolean {
    return !this.#deps.serverReachability.failsFast(this.#run.service);
  }

  /**
   * Sends the request through another VM, or declines it if it was forwarded to this one. Returns
   * false if no VM takes it; no server has received it then.
   */
  async send(
    { configurationVersion, leftMs }: {
      configurationVersion: number;
      leftMs: () => number;
    },
  ): Promise<boolean> {
    const { exchange, permit, end } = this.#run;
    if (exchange.origin !== undefined) {
      this.decline(UNREACHABLE);
      return true;
    }
    this.#isTried = true;
    const { isCounted } = permit;
    const outcome = await this.#forwarding.run({
      configurationVersion,
      isCounted,
      leftMs,
    });
    if (outcome.tag === "broken") {
      end.refuse({ tag: "answer_lost", reason: outcome.reason });
    }
    return outcome.tag !== "declined" || exchange.isFinished;
  }

  /** Tells the VM that forwarded the request here that it has not run. */
  decline(reason: string): void {
    const { exchange } = this.#run;
    if (exchange.isFinished) return;
    this.#deps.requestLog.recordDeclined(exchange, reason);
    exchange.decline(reason);
  }

  /** Ends the exchange with another VM, if there is one. */
  abort(): void {
    this.#forwarding.abort();
  }

  /** Whether no server can have received the request from here, and no other VM was asked. */
  get #isAllowed(): boolean {
    const { sender, tally, exchange } = this.#run;
    return !this.#isTried && !sender.wasSent && tally.runs === 0 &&
      exchange.state === "none";
  }
}
