/** Record of one attempt of a request, used for decisions and for the log. */

import type { BackendAttemptOutcome } from "../backends/backend_attempt.ts";
import type { InstanceId, ModelId } from "../core/ids.ts";
import type { ServerRecord } from "../core/servers/server_record.ts";
import type { AckEvidence } from "../core/servers/unacked_attempts.ts";

/** State and outcome of one attempt. Points in time are in monotonic milliseconds. */
export interface AttemptRecord {
  readonly server: InstanceId;
  /** `IP:port` of the server. */
  readonly address: string;
  readonly release: string;
  readonly model: ModelId | undefined;
  readonly startedMs: number;
  /** Time to first byte, as predicted when the attempt started. */
  readonly expectedMs: number;
  /** Time to first byte; undefined before the first byte of the response. */
  firstByteMs: number | undefined;
  /** When the latest byte of the response was received. */
  lastByteMs: number | undefined;
  outcome: string;
  /** Details of the outcome, where there are any. */
  reason: string | undefined;
  /** When the first byte of the request was written; undefined if none was. */
  sentMs: number | undefined;
  /** When the server was first known to have read the request; undefined before. */
  ackedMs: number | undefined;
  /** What showed that; undefined before. */
  ackEvidence: AckEvidence | undefined;
  /** Whether the request cannot arrive at the server any later. */
  isSettled: boolean;
  /** Whether the response marks its end by a length or chunks; undefined before its head. */
  framed: boolean | undefined;
  /** Confidence of the model in its answer, 0 to 100. */
  confidence: number | undefined;
  /** Rate limit over all VMs that the response states, in requests per second. */
  limitPerS: number | undefined;
}

/** Creates the record of an attempt that is starting. */
export function createAttemptRecord(
  { instance, address, release }: ServerRecord,
  { model, startedMs, expectedMs }: {
    model: ModelId | undefined;
    startedMs: number;
    expectedMs: number;
  },
): AttemptRecord {
  return {
    server: instance,
    address,
    release,
    model,
    startedMs,
    expectedMs,
    firstByteMs: undefined,
    lastByteMs: undefined,
    outcome: "under_way",
    reason: undefined,
    sentMs: undefined,
    ackedMs: undefined,
    ackEvidence: undefined,
    isSettled: false,
    framed: undefined,
    confidence: undefined,
    limitPerS: undefined,
  };
}

/** Stores the outcome of an attempt in its record. */
export function completeAttemptRecord(
  record: AttemptRecord,
  outcome: BackendAttemptOutcome,
): void {
  record.outcome = outcome.tag;
  record.reason = reasonOf(outcome);
}

/**
 * Formats an attempt for the log: "SERVER RELEASE MODEL sent at T ms: outcome (reason, first byte,
 * expected first byte, acknowledgement, missing end mark, confidence, rate limit)".
 */
export function describeAttempt(
  record: AttemptRecord,
  arrivedMs: number,
): string {
  const model = record.model === undefined ? "" : ` ${record.model}`;
  const details = [
    record.reason,
    record.firstByteMs === undefined
      ? "no first byte"
      : `first byte after ${Math.round(record.firstByteMs)} ms`,
    `first byte expected after ${Math.round(record.expectedMs)} ms`,
    describeAck(record),
    record.framed === false ? "no end mark" : undefined,
    record.confidence === undefined
      ? undefined
      : `confidence ${record.confidence}`,
    record.limitPerS === undefined
      ? undefined
      : `rate limit ${record.limitPerS} requests/s`,
  ].filter((text) => text !== undefined).join(", ");
  const sentMs = Math.round(record.startedMs - arrivedMs);
  return `${record.server} ${record.release}${model} sent at ${sentMs} ms: ` +
    `${record.outcome} (${details})`;
}

/** Describes how long an attempt may have stayed unread; undefined if the first byte shows it. */
function describeAck(
  { sentMs, ackedMs, ackEvidence, firstByteMs }: AttemptRecord,
): string | undefined {
  if (sentMs === undefined) return "nothing sent";
  if (ackedMs === undefined) return "not acknowledged";
  return firstByteMs === undefined
    ? `acknowledged after ${Math.round(ackedMs - sentMs)} ms by ${ackEvidence}`
    : undefined;
}

function reasonOf(outcome: BackendAttemptOutcome): string | undefined {
  switch (outcome.tag) {
    case "not_sent":
    case "broken":
    case "stream_broken":
      return outcome.reason;
    case "not_run":
      return outcome.restMs > 0
        ? `status ${outcome.status}, requests ${outcome.restMs} ms of backoff`
        : `status ${outcome.status}`;
    case "answered":
      return `status ${outcome.head.status}`;
    default:
      return undefined;
  }
}
