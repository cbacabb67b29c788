/** Tracks the server crashes that occur during one request. */

import type { BackendAttemptOutcome } from "../backends/backend_attempt.ts";
import type { QuarantineStatus } from "../core/crashes/crash_history.ts";
import type { PartKey, ServerIncarnation } from "../core/ids.ts";
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
/** Quarantine that is left while another VM tries whether the request still crashes servers. */
const TRIAL_WAIT_MS = 5_000;

const NO_ADDRESSES: ReadonlySet<string> = new Set();

/** A quarantine status on which a request can be decided. */
export type FinalQuarantineStatus = Exclude<
  QuarantineStatus,
  { tag: "trial_due" }
>;

/** Reports the lost connections of one request, and looks up its quarantine status. */
export class RequestCrashTracker {
  readonly #detector: CrashDetector;
  readonly #request: MonitoredRequest;
  /** Servers known to have crashed during the request. */
  #crashedServers: readonly ServerIncarnation[] = [];
  /** Their addresses. */
  #crashedAddresses: ReadonlySet<string> = NO_ADDRESSES;
  /** Servers that this VM lost connections to during the request, whether or not they crashed. */
  readonly #disconnectedServers: ServerIncarnation[] = [];
  #isSuspected = false;
  /** Whether this request tries what was quarantined. */
  #isOnTrial = false;

  constructor(detector: CrashDetector, request: MonitoredRequest) {
    this.#detector = detector;
    this.#request = request;
  }

  /** Waits until the quarantine decision is final, or `isOver`; returns the quarantine status. */
  async waitUntilSettled(
    isOver: () => boolean,
  ): Promise<FinalQuarantineStatus> {
    let status = this.#status();
    while (status.tag === "settling" && !isOver()) {
      await pause(STATUS_POLL_INTERVAL_MS);
      status = this.#status();
    }
    const crashes = this.#detector.crashesUnder(this.#request);
    this.#crashedServers = [...new Set(crashes.map(({ life }) => life))];
    this.#crashedAddresses = crashes.length === 0
      ? NO_ADDRESSES
      : new Set(crashes.map(({ address }) => address));
    this.#isSuspected = this.#detector.hasCrashedServers(this.#request);
    return status;
  }

  #status(): FinalQuarantineStatus {
    if (this.#isOnTrial) return { tag: "free" };
    const status = this.#detector.quarantineStatus(this.#request);
    if (status.tag !== "trial_due") return status;
    this.#isOnTrial = this.#detector.tryStartTrial(status, this.#request);
    if (this.#isOnTrial) return { tag: "free" };
    const { crashes, isParts, keys } = status.culprit;
    return {
      tag: "quarantined",
      leftMs: TRIAL_WAIT_MS,
      crashes: crashes.length,
      parts: isParts ? [...keys] as PartKey[] : [],
    };
  }

  /** Whether servers were known to have crashed during the request before this attempt. */
  get isSuspected(): boolean {
    return this.#isSuspected;
  }

  /**
   * Addresses of servers that crashed during the request or others with its prompt parts. Another
   * server tells whether the request is the cause, or the server that crashed.
   */
  get crashedAddresses(): ReadonlySet<string> {
    return this.#crashedAddresses;
  }

  /** Whether the first byte of the response shows that the request has started to run. */
  get isStream(): boolean {
    return this.#request.streaming;
  }

  /** Whether the request must not start to run on any server. */
  get isQuarantined(): boolean {
    if (this.#isOnTrial) return false;
    const { tag } = this.#detector.quarantineStatus(this.#request);
    return tag === "quarantined" || tag === "trial_due";
  }

  /** Checks after a lost connection whether the server crashed, before another attempt is made. */
  async recordAttemptEnd(
    outcome: BackendAttemptOutcome,
    { server, record }: {
      server: ServerRecord;
      record: AttemptRecord | undefined;
    },
  ): Promise<void> {
    if (record === undefined) return;
    // Connections lost earlier precede this one, even if their server checks are still pending.
    const precedingServers = [
      ...new Set([...this.#crashedServers, ...this.#disconnectedServers]),
    ];
    const attempt = { server, record, precedingServers };
    if (outcome.tag === "turned_down" || outcome.tag === "given_up") {
      this.#detector.recordClosed(this.#request, attempt);
    }
    if (outcome.tag !== "broken" && outcome.tag !== "stream_broken") return;
    this.#isOnTrial = false;
    this.#disconnectedServers.push(incarnationIdOf(server));
    const checked = this.#detector.recordDisconnect(this.#request, attempt);
    await Promise.race([checked, pause(MAX_CRASH_CHECK_WAIT_MS)]);
  }

  /** Records that the request completed successfully. */
  recordSuccess(): void {
    this.#detector.recordSuccess(this.#request);
  }
}
