/** A backend server that ended while a request was beginning to run on it. */

import type {
  AccountId,
  PartKey,
  RequestKey,
  ServerIncarnation,
} from "../ids.ts";

/** What may crash a server: a request as such, or a prompt part that it shares with others. */
export type SuspectKey = RequestKey | PartKey;

/** Everything by which a request can be suspected. */
export interface RequestSuspects {
  readonly request: RequestKey;
  /** Parts of its prompt that other requests may share. */
  readonly parts: readonly PartKey[];
}

/** Maximum number of servers that one request may crash, as required by the users. */
export const CRASH_LIMIT = 3;
/** Maximum number of preceding crashes in a report; the order needs only the latest. */
export const MAX_REPORT_SERVERS = 32;

/** One server crash attributed to one request. Times are from the monotonic clock. */
export interface ServerCrash {
  readonly request: RequestKey;
  /** Undefined where the route needs no API key. */
  readonly account: AccountId | undefined;
  /** Incarnation of the server that ended; the same on every VM that observed the crash. */
  readonly life: ServerIncarnation;
  /** `IP:port` of the server. */
  readonly address: string;
  /**
   * Incarnations that were known to have ended under the request or its parts, or had dropped its
   * connection, before it was sent to this server.
   */
  readonly after: readonly ServerIncarnation[];
  readonly beganMs: number;
  readonly endedMs: number;
  /** Number of servers known for the service at that time, including this one. */
  readonly serviceSize: number;
}

/** A server crash and the prompt parts that may have caused it. */
export interface Crash extends ServerCrash, RequestSuspects {}

/**
 * A request that crashes servers does so as it begins to run, while a bystander, or a request on
 * a server that crashes by itself, may be at any stage. Wide enough for slow servers and VMs.
 */
export const CRASH_WINDOW_MS = 1_000;

/** Whether a run that ended together with its server may have caused the crash. */
export function mayHaveCausedCrash(
  { streaming, firstByteMs, endedMs }: {
    /** Whether the first byte of the response indicates that the run has begun. */
    readonly streaming: boolean;
    /** Time from sending the request to the first byte, if one was received. */
    readonly firstByteMs: number | undefined;
    /** Time from sending the request to the end of the run. */
    readonly endedMs: number;
  },
): boolean {
  // Its run may have begun just now, however long it was queued or in prefill: a server that
  // crashes with the first token sends no byte of it.
  if (streaming && firstByteMs === undefined) return true;
  return endedMs - (firstByteMs ?? 0) <= CRASH_WINDOW_MS;
}

/** Merges what two VMs report of one crash, each with its own copy of the request there. */
export function mergeCrashes(a: ServerCrash, b: ServerCrash): ServerCrash {
  return {
    ...a,
    after: [...new Set([...a.after, ...b.after])].slice(-MAX_REPORT_SERVERS),
    beganMs: Math.max(a.beganMs, b.beganMs),
    endedMs: Math.min(a.endedMs, b.endedMs),
    serviceSize: Math.max(a.serviceSize, b.serviceSize),
  };
}
