/** A backend server that ended while a request was beginning to run on it. */

import type { AccountId, RequestKey, ServerIncarnation } from "../ids.ts";

/** One server crash attributed to one request. Times are from the monotonic clock. */
export interface Crash {
  readonly request: RequestKey;
  /** Undefined where the route needs no API key. */
  readonly account: AccountId | undefined;
  /** Incarnation of the server that ended; the same on every VM that observed the crash. */
  readonly life: ServerIncarnation;
  /** `IP:port` of the server. */
  readonly address: string;
  /**
   * Incarnations that were known to have ended under the request, or had dropped its connection,
   * before it was sent to this server.
   */
  readonly after: readonly ServerIncarnation[];
  readonly beganMs: number;
  readonly endedMs: number;
  /** Number of servers known for the service at that time, including this one. */
  readonly serviceSize: number;
}

/**
 * A request that crashes servers does so as it begins to run, while a bystander, or a request on
 * a server that crashes by itself, may be at any stage. Wide enough for slow servers and VMs.
 */
const CRASH_WINDOW_MS = 1_000;

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
  // A streaming request without a first byte was in prefill or queued: its run had not begun.
  if (streaming && firstByteMs === undefined) return false;
  return endedMs - (firstByteMs ?? 0) <= CRASH_WINDOW_MS;
}
