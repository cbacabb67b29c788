/** Detects requests that were starting to run on a backend server when it crashed. */

import type { ServerExitCheck } from "../backends/server_exit_check.ts";
import { type Crash, mayHaveCausedCrash } from "../core/crashes/crash.ts";
import type {
  CrashHistory,
  QuarantineStatus,
} from "../core/crashes/crash_history.ts";
import type { AccountId, ServerIncarnation, ServiceId } from "../core/ids.ts";
import type { ServerDirectory } from "../core/servers/server_directory.ts";
import {
  incarnationIdOf,
  type ServerRecord,
} from "../core/servers/server_record.ts";
import type { CrashGossip } from "../fleet/crash_gossip.ts";
import type { PromptPart } from "../platform/header_wire.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { RequestIdentity } from "./request_identity.ts";
import type { AttemptRecord } from "./attempt_record.ts";

interface Deps {
  readonly serverExitCheck: ServerExitCheck;
  readonly serverDirectory: ServerDirectory;
  readonly crashHistory: CrashHistory;
  readonly crashGossip: CrashGossip;
  readonly gatewayMetrics: GatewayMetrics;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** The properties of a request that crash detection needs. */
export interface MonitoredRequest {
  readonly identity: RequestIdentity;
  /** Id that the caller gave to its attempt. */
  readonly attemptId: string | undefined;
  readonly account: AccountId | undefined;
  readonly service: ServiceId;
  /** Parts of the prompt, the last of which no other request shares. */
  readonly promptParts: readonly PromptPart[];
  /** Whether the first byte of the response shows that the request has started to run. */
  readonly streaming: boolean;
}

/** An attempt whose connection to the server was lost. */
export interface BrokenAttempt {
  readonly server: ServerRecord;
  readonly record: AttemptRecord;
  /** Servers that had crashed during the request, or lost its connection, before this attempt. */
  readonly precedingServers: readonly ServerIncarnation[];
}

const NOT_SUSPECTED: QuarantineStatus = { tag: "free" };

/** Records server crashes and successes of the requests on this VM, for quarantine decisions. */
export class CrashDetector {
  readonly #deps: Deps;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Quarantine status of a request. Its key is computed only if any crash is on record. */
  quarantineStatus({ identity }: MonitoredRequest): QuarantineStatus {
    const { crashHistory, clock } = this.#deps;
    if (crashHistory.isEmpty) return NOT_SUSPECTED;
    return crashHistory.quarantineStatus(identity.key, clock.monotonicMs());
  }

  /** Servers known to have crashed during a request. */
  crashedServers({ identity }: MonitoredRequest): readonly ServerIncarnation[] {
    const { crashHistory } = this.#deps;
    if (crashHistory.isEmpty) return [];
    return crashHistory.crashesOf(identity.key).map(({ life }) => life);
  }

  /** Records that a request completed successfully, which clears it of suspicion. */
  recordSuccess({ identity, attemptId: attempt }: MonitoredRequest): void {
    const { crashHistory, clock, logger } = this.#deps;
    if (crashHistory.isEmpty) return;
    const nowMs = clock.monotonicMs();
    const request = identity.key;
    const crashes = crashHistory.crashesOf(request).length;
    if (!crashHistory.recordSuccess({ request, atMs: nowMs }, nowMs)) return;
    logger.info(
      "Request completed and is no longer suspected of crashing servers",
      {
        request,
        attempt,
        crashes,
      },
    );
  }

  /**
   * Records an attempt that lost its connection; resolves once it is known whether the server
   * process ended. A mere connection reset is not counted, as it says nothing about the request.
   */
  async recordDisconnect(
    monitored: MonitoredRequest,
    brokenAttempt: BrokenAttempt,
  ): Promise<void> {
    const { serverExitCheck, clock, gatewayMetrics } = this.#deps;
    const { server, record } = brokenAttempt;
    const endedMs = clock.monotonicMs();
    const suspected = mayHaveCausedCrash({
      streaming: monitored.streaming,
      firstByteMs: record.firstByteMs,
      endedMs: endedMs - record.startedMs,
    });
    if (!await serverExitCheck.hasExited(server)) return;
    gatewayMetrics.serverExits.inc({ service: monitored.service });
    const crash = this.#crashOf(monitored, { brokenAttempt, endedMs });
    this.#log(crash, { monitored, brokenAttempt, suspected });
    if (suspected) this.#deps.crashGossip.recordLocal(crash);
  }

  #crashOf(
    { identity, account, service }: MonitoredRequest,
    { brokenAttempt, endedMs }: {
      brokenAttempt: BrokenAttempt;
      endedMs: number;
    },
  ): Crash {
    const { server, record, precedingServers: after } = brokenAttempt;
    return {
      request: identity.key,
      account,
      life: incarnationIdOf(server),
      address: server.address,
      after,
      beganMs: record.startedMs + (record.firstByteMs ?? 0),
      endedMs,
      serviceSize: this.#deps.serverDirectory.addressCountOf(service),
    };
  }

  #log(
    { request, life, address, beganMs, endedMs }: Crash,
    { monitored, brokenAttempt, suspected }: {
      monitored: MonitoredRequest;
      brokenAttempt: BrokenAttempt;
      suspected: boolean;
    },
  ): void {
    const { server, record } = brokenAttempt;
    this.#deps.logger.info("Server process ended during a request", {
      request,
      attempt: monitored.attemptId,
      service: monitored.service,
      parts: monitored.promptParts.map(({ id }) => id).join(","),
      server: life,
      address,
      release: server.release,
      model: record.model,
      begun: record.firstByteMs !== undefined,
      ran_ms: Math.round(endedMs - beganMs),
      suspected,
      ended_before: this.#deps.crashHistory.crashesOf(request).length,
    });
  }
}
