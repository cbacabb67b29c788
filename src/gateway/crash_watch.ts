/** Finds out which requests were beginning to run where servers ended, and keeps them back. */

import type { ServerEndCheck } from "../backends/server_end_check.ts";
import { type Crash, mayHaveCrashed } from "../core/crashes/crash.ts";
import type { CrashBook, Standing } from "../core/crashes/crash_book.ts";
import type { AccountId, ServerLife, ServiceId } from "../core/ids.ts";
import type { ServerDirectory } from "../core/servers/server_directory.ts";
import { lifeOf, type ServerRecord } from "../core/servers/server_record.ts";
import type { CrashGossip } from "../fleet/crash_gossip.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { RequestIdentity } from "./request_identity.ts";
import type { AttemptRecord } from "./attempt_record.ts";

interface Deps {
  readonly serverEndCheck: ServerEndCheck;
  readonly serverDirectory: ServerDirectory;
  readonly crashBook: CrashBook;
  readonly crashGossip: CrashGossip;
  readonly gatewayMetrics: GatewayMetrics;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** A request, as far as its crashes go. */
export interface WatchedRequest {
  readonly identity: RequestIdentity;
  readonly attempt: string | undefined;
  readonly account: AccountId | undefined;
  readonly service: ServiceId;
  /** Whether the first byte of an answer shows that a run has begun. */
  readonly streaming: boolean;
}

/** A try whose connection broke off. */
export interface BrokenTry {
  readonly server: ServerRecord;
  readonly record: AttemptRecord;
  /** Servers that had ended under the request when it was sent, or broken it off before. */
  readonly after: readonly ServerLife[];
}

const FREE: Standing = { tag: "free" };

/** Watches over the requests of this VM. */
export class CrashWatch {
  readonly #deps: Deps;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** How a request stands. Its key is worked out only where some request is suspected. */
  standing({ identity }: WatchedRequest): Standing {
    const { crashBook, clock } = this.#deps;
    if (crashBook.isEmpty) return FREE;
    return crashBook.standing(identity.key, clock.monotonicMs());
  }

  /** Servers that are known to have ended under a request. */
  endedUnder({ identity }: WatchedRequest): readonly ServerLife[] {
    const { crashBook } = this.#deps;
    if (crashBook.isEmpty) return [];
    return crashBook.crashesOf(identity.key).map(({ life }) => life);
  }

  /** Notes that a request has run to a good end, whatever it was suspected of. */
  endedWell({ identity, attempt }: WatchedRequest): void {
    const { crashBook, clock, logger } = this.#deps;
    if (crashBook.isEmpty) return;
    const nowMs = clock.monotonicMs();
    const request = identity.key;
    const crashes = crashBook.crashesOf(request).length;
    if (!crashBook.noteGoodEnd({ request, atMs: nowMs }, nowMs)) return;
    logger.info("Request is cleared by a good end", {
      request,
      attempt,
      crashes,
    });
  }

  /**
   * Notes a try that broke off; resolves when it is known whether its server has ended. Not a
   * link that was reset, which says nothing about the request.
   */
  async brokeOff(watched: WatchedRequest, broken: BrokenTry): Promise<void> {
    const { serverEndCheck, clock, gatewayMetrics } = this.#deps;
    const { server, record } = broken;
    const endedMs = clock.monotonicMs();
    const suspected = mayHaveCrashed({
      streaming: watched.streaming,
      firstByteMs: record.firstByteMs,
      endedMs: endedMs - record.startedMs,
    });
    if (!await serverEndCheck.hasEnded(server)) return;
    gatewayMetrics.serverExits.inc({ service: watched.service });
    const crash = this.#crashOf(watched, { broken, endedMs });
    this.#log(crash, { watched, broken, suspected });
    if (suspected) this.#deps.crashGossip.recordLocal(crash);
  }

  #crashOf(
    { identity, account, service }: WatchedRequest,
    { broken, endedMs }: { broken: BrokenTry; endedMs: number },
  ): Crash {
    const { server, record, after } = broken;
    return {
      request: identity.key,
      account,
      life: lifeOf(server),
      address: server.address,
      after,
      beganMs: record.startedMs + (record.firstByteMs ?? 0),
      endedMs,
      serviceSize: this.#deps.serverDirectory.addressesOf(service),
    };
  }

  #log(
    { request, life, address, beganMs, endedMs }: Crash,
    { watched, broken, suspected }: {
      watched: WatchedRequest;
      broken: BrokenTry;
      suspected: boolean;
    },
  ): void {
    const { server, record } = broken;
    this.#deps.logger.info("Server ended under a request", {
      request,
      attempt: watched.attempt,
      service: watched.service,
      server: life,
      address,
      release: server.release,
      model: record.model,
      begun: record.firstByteMs !== undefined,
      ran_ms: Math.round(endedMs - beganMs),
      suspected,
      ended_before: this.#deps.crashBook.crashesOf(request).length,
    });
  }
}
