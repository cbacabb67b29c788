/** Tracks the server crashes that occur during one request. */

import type { BackendAttemptOutcome } from "../backends/backend_attempt.ts";
import type { QuarantineStatus } from "../core/crashes/crash_history.ts";
import type { ServerIncarnation } from "../core/ids.ts";
import {
  incarnationIdOf,
  type ServerRecord,
} from "../core/servers/server_record.ts";
import { pause } from "../runtime/pause.ts";
import type { CrashDetector, MonitoredRequest } from "./crash_detector.ts";
import type { AttemptRecord } from "./attempt_record.ts";

/**
 * Maximum time that a retry waits for the check whether its last server process ended. An ended
 * process refuses the connection within 1 ms in most cases, and within 20 ms across regions. An
 * unresponsive server must not delay requests that crash nothing.
 */
const MAX_CRASH_CHECK_WAIT_MS = 100;
/** Polling interval while the quarantine decision for a request is pending. */
const STATUS_POLL_INTERVAL_MS = 50;

/** Reports the lost connections of one request, and looks up its quarantine status. */
export class RequestCrashTracker {
  readonly #detector: CrashDetector;
  readonly #request: MonitoredRequest;
  /** Servers known to have crashed during the request. */
  #crashedServers: readonly ServerIncarnation[] = [];
  /** Servers that this VM lost connections to during the request, whether or not they crashed. */
  readonly #disconnectedServers: ServerIncarnation[] = [];

  constructor(detector: CrashDetector, request: MonitoredRequest) {
    this.#detector = detector;
    this.#request = request;
  }

  /** Waits until the quarantine decision is final, or `isOver`; returns the quarantine status. */
  async waitUntilSettled(isOver: () => boolean): Promise<QuarantineStatus> {
    let status = this.#detector.quarantineStatus(this.#request);
    while (status.tag === "settling" && !isOver()) {
      await pause(STATUS_POLL_INTERVAL_MS);
      status = this.#detector.quarantineStatus(this.#request);
    }
    this.#crashedServers = this.#detector.crashedServers(this.#request);
    return status;
  }

  /** Whether servers were known to have crashed during the request before this attempt. */
  get isSuspected(): boolean {
    return this.#crashedServers.length > 0;
  }

  /** Whether the first byte of the response shows that the request has started to run. */
  get isStream(): boolean {
    return this.#request.streaming;
  }

  /** Whether the request must not start to run on any server. */
  get isQuarantined(): boolean {
    return this.#detector.quarantineStatus(this.#request).tag === "quarantined";
  }

  /** Checks after a lost connection whether the server crashed, before another attempt is made. */
  async recordAttemptEnd(
    outcome: BackendAttemptOutcome,
    { server, record }: {
      server: ServerRecord;
      record: AttemptRecord | undefined;
    },
  ): Promise<void> {
    if (outcome.tag !== "broken" && outcome.tag !== "stream_broken") return;
    if (record === undefined) return;
    // Connections lost earlier precede this one, even if their server checks are still pending.
    const precedingServers = [
      ...new Set([...this.#crashedServers, ...this.#disconnectedServers]),
    ];
    const attempt = { server, record, precedingServers };
    this.#disconnectedServers.push(incarnationIdOf(server));
    const checked = this.#detector.recordDisconnect(this.#request, attempt);
    await Promise.race([checked, pause(MAX_CRASH_CHECK_WAIT_MS)]);
  }

  /** Records that the request completed successfully. */
  recordSuccess(): void {
    this.#detector.recordSuccess(this.#request);
  }
}
