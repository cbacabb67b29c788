/** Detects requests that were starting to run on a backend server when it crashed. */

import type { ServerExitCheck } from "../backends/server_exit_check.ts";
import {
  type Crash,
  mayHaveCausedCrash,
  type ServerCrash,
} from "../core/crashes/crash.ts";
import type {
  CrashHistory,
  QuarantineStatus,
} from "../core/crashes/crash_history.ts";
import {
  describeKeys,
  type Hypothesis,
} from "../core/crashes/crash_hypotheses.ts";
import { UnwatchedRuns } from "../core/crashes/unwatched_runs.ts";
import type { AccountId, ServerIncarnation, ServiceId } from "../core/ids.ts";
import type { ServerDirectory } from "../core/servers/server_directory.ts";
import {
  incarnationIdOf,
  type ServerRecord,
} from "../core/servers/server_record.ts";
import type { MemberTable } from "../core/membership/member_table.ts";
import type { CrashGossip } from "../fleet/crash_gossip.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";
import type { CrashRegistry } from "../store/crash_registry.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { RequestIdentity } from "./request_identity.ts";
import type { AttemptRecord } from "./attempt_record.ts";

interface Deps {
  readonly serverExitCheck: ServerExitCheck;
  readonly serverDirectory: ServerDirectory;
  readonly crashHistory: CrashHistory;
  readonly crashGossip: CrashGossip;
  readonly crashRegistry: Pick<CrashRegistry, "isLoaded">;
  readonly memberTable: Pick<MemberTable, "everyone" | "self">;
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

/** A run whose connection this VM closed. */
interface UnwatchedRun {
  readonly monitored: MonitoredRequest;
  readonly attempt: BrokenAttempt;
}

/** Maximum number of prompt parts named in one log line. */
const MAX_PARTS_LOGGED = 32;
/** Time between the trials of two VMs; far longer than a trial and the reports of it take. */
const TRIAL_INTERVAL_MS = 3_000;

const NOT_SUSPECTED: QuarantineStatus = { tag: "free" };
const NOT_LOADED: QuarantineStatus = { tag: "settling" };

/** Records server crashes and successes of the requests on this VM, for quarantine decisions. */
export class CrashDetector {
  readonly #deps: Deps;
  readonly #unwatched = new UnwatchedRuns<UnwatchedRun>();

  constructor(deps: Deps) {
    this.#deps = deps;
    deps.crashGossip.onCrash((crash) => this.#recordUnwatched(crash));
  }

  /** Quarantine status of a request. Its keys are computed only if any crash is on record. */
  quarantineStatus({ identity }: MonitoredRequest): QuarantineStatus {
    const { crashHistory, crashRegistry, clock } = this.#deps;
    if (!crashRegistry.isLoaded) return NOT_LOADED;
    if (crashHistory.culprits.length === 0) return NOT_SUSPECTED;
    return crashHistory.quarantineStatus(
      identity.suspects,
      clock.monotonicMs(),
    );
  }

  /**
   * Starts a trial of what was quarantined; returns whether this VM may. VMs may one after the
   * other, so that the result of a trial is known before the next one.
   */
  tryStartTrial(
    { culprit, dueMs }: { culprit: Hypothesis; dueMs: number },
    { identity }: MonitoredRequest,
  ): boolean {
    const { crashHistory, memberTable, clock, logger } = this.#deps;
    const rank = memberTable.everyone()
      .filter(({ state }) => state === "alive")
      .map(({ id }) => id)
      .sort()
      .indexOf(memberTable.self.id);
    const nowMs = clock.monotonicMs();
    if (rank < 0 || nowMs < dueMs + rank * TRIAL_INTERVAL_MS) return false;
    crashHistory.startTrial(culprit, nowMs);
    logger.info("Trying whether a quarantined request still crashes servers", {
      request: identity.key,
      keys: describeKeys(culprit),
      crashes: culprit.crashes.length,
    });
    return true;
  }

  /** Known crashes during a request or others with its prompt parts, the latest last. */
  crashesUnder({ identity }: MonitoredRequest): readonly ServerCrash[] {
    const { crashHistory } = this.#deps;
    if (crashHistory.isEmpty) return [];
    return crashHistory.crashesUnder(identity.suspects);
  }

  /** Whether servers are known to have crashed during a request itself. */
  hasCrashedServers({ identity }: MonitoredRequest): boolean {
    const { crashHistory } = this.#deps;
    return !crashHistory.isEmpty &&
      crashHistory.crashesOf(identity.key).length > 0;
  }

  /** Records that a request completed successfully, which clears it and its parts of suspicion. */
  recordSuccess({ identity, attemptId: attempt }: MonitoredRequest): void {
    const { crashHistory, crashGossip, clock, logger } = this.#deps;
    if (crashHistory.isEmpty) return;
    const nowMs = clock.monotonicMs();
    crashGossip.recordCompletion(identity.parts);
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

  /**
   * Records a run whose connection this VM closes. Servers may go on with it, and crash unseen;
   * another run there may show that.
   */
  recordClosed(monitored: MonitoredRequest, attempt: BrokenAttempt): void {
    const { server, record } = attempt;
    const { startedMs, firstByteMs } = record;
    if (monitored.streaming && firstByteMs === undefined) return;
    const life = incarnationIdOf(server);
    const beganMs = startedMs + (firstByteMs ?? 0);
    const run = { monitored, attempt };
    this.#unwatched.add(
      { life, beganMs, run },
      this.#deps.clock.monotonicMs(),
    );
  }

  #recordUnwatched({ life, endedMs }: Crash): void {
    for (
      const { monitored, attempt } of this.#unwatched.takeEnded(life, endedMs)
    ) {
      const crash = this.#crashOf(monitored, {
        brokenAttempt: attempt,
        endedMs,
      });
      this.#log(crash, { monitored, brokenAttempt: attempt, suspected: true });
      this.#deps.crashGossip.recordLocal(crash);
    }
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
      ...identity.suspects,
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
      parts: monitored.identity.parts.slice(0, MAX_PARTS_LOGGED).join(","),
      part_count: monitored.identity.parts.length,
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
