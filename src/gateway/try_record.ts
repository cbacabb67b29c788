/** What is kept of each try of a request, for decisions and for the log. */

import type { TryOutcome } from "../backends/backend_try.ts";
import type { InstanceId, ModelId } from "../core/ids.ts";
import type { ServerRecord } from "../core/servers/server_record.ts";

/** One try. */
export interface TryRecord {
  readonly server: InstanceId;
  /** `IP:port` of the server. */
  readonly address: string;
  readonly release: string;
  readonly model: ModelId | undefined;
  /** By the monotonic clock, like all times here. */
  readonly startedMs: number;
  /** Time to the first byte, as worked out when it was sent. */
  readonly expectedMs: number;
  /** Time to the first byte of the answer. */
  firstByteMs: number | undefined;
  /** When the last byte came. */
  byteMs: number | undefined;
  outcome: string;
  /** Why it ended as it did, where the outcome does not say. */
  reason: string | undefined;
  /** When the first byte of the request left; undefined where none did. */
  sentMs: number | undefined;
  /** When its server was known to have read it; undefined before. */
  ackedMs: number | undefined;
  /** How good the model took its answer to be, 0 to 100. */
  confidence: number | undefined;
  /** Requests a second that the server takes from all VMs, as its answer names it. */
  limitPerS: number | undefined;
}

/** Begins the record of a try. */
export function newTryRecord(
  { instance, address, release }: ServerRecord,
  { model, startedMs, expectedMs }: {
    model: ModelId | undefined;
    startedMs: number;
    expectedMs: number;
  },
): TryRecord {
  return {
    server: instance,
    address,
    release,
    model,
    startedMs,
    expectedMs,
    firstByteMs: undefined,
    byteMs: undefined,
    outcome: "under_way",
    reason: undefined,
    sentMs: undefined,
    ackedMs: undefined,
    confidence: undefined,
    limitPerS: undefined,
  };
}

/** Notes how a try ended. */
export function endTryRecord(record: TryRecord, outcome: TryOutcome): void {
  record.outcome = outcome.tag;
  record.reason = reasonOf(outcome);
}

/** "SERVER RELEASE MODEL sent at T ms: outcome (reason, first byte, expected, confidence)". */
export function describeTry(record: TryRecord, arrivedMs: number): string {
  const model = record.model === undefined ? "" : ` ${record.model}`;
  const details = [
    record.reason,
    record.firstByteMs === undefined
      ? "no first byte"
      : `first byte after ${Math.round(record.firstByteMs)} ms`,
    `expected after ${Math.round(record.expectedMs)} ms`,
    describeAck(record),
    record.confidence === undefined
      ? undefined
      : `confidence ${record.confidence}`,
    record.limitPerS === undefined
      ? undefined
      : `names ${record.limitPerS} a second`,
  ].filter((text) => text !== undefined).join(", ");
  const sentMs = Math.round(record.startedMs - arrivedMs);
  return `${record.server} ${record.release}${model} sent at ${sentMs} ms: ` +
    `${record.outcome} (${details})`;
}

/** Says how long the bytes of an attempt may have lain unread, where that is not plain. */
function describeAck(
  { sentMs, ackedMs, firstByteMs }: TryRecord,
): string | undefined {
  if (sentMs === undefined) return "nothing sent";
  if (ackedMs === undefined) return "not acknowledged";
  return firstByteMs === undefined
    ? `acknowledged after ${Math.round(ackedMs - sentMs)} ms`
    : undefined;
}

function reasonOf(outcome: TryOutcome): string | undefined {
  switch (outcome.tag) {
    case "not_sent":
    case "broken":
    case "stream_broken":
      return outcome.reason;
    case "not_run":
      return outcome.restMs > 0
        ? `status ${outcome.status}, asks for ${outcome.restMs} ms of rest`
        : `status ${outcome.status}`;
    case "answered":
      return `status ${outcome.head.status}`;
    default:
      return undefined;
  }
}
