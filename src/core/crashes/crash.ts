/** The end of a backend server under a request that had just begun to run there. */

import type { AccountId, RequestKey, ServerIncarnation } from "../ids.ts";

/** One request and one server that ended under it. Times are of the monotonic clock. */
export interface Crash {
  readonly request: RequestKey;
  /** Undefined where the route needs no key. */
  readonly account: AccountId | undefined;
  /** The life of the server that ended; two VMs that saw it end name the same one. */
  readonly life: ServerIncarnation;
  /** `IP:port` of the server. */
  readonly address: string;
  /** Servers that were known to have ended under the request, or had lost it, before this one got it. */
  readonly after: readonly ServerIncarnation[];
  readonly beganMs: number;
  readonly endedMs: number;
  /** Servers of the service that were known then, this one included. */
  readonly serviceSize: number;
}

/**
 * A request that crashes servers does so as it begins to run; what merely runs beside it, or on a
 * server that crashes by itself, may be at any stage. Wide, for slow servers and VMs.
 */
const BEGIN_WINDOW_MS = 1_000;

/** Whether a run that ended with its server may have ended it. */
export function mayHaveCrashed(
  { streaming, firstByteMs, endedMs }: {
    /** Whether the first byte of an answer shows that the run has begun. */
    readonly streaming: boolean;
    /** Time from the sending to the first byte, if one came. */
    readonly firstByteMs: number | undefined;
    /** Time from the sending to the end. */
    readonly endedMs: number;
  },
): boolean {
  // A stream without a byte was read or waited for a place: it had not begun.
  if (streaming && firstByteMs === undefined) return false;
  return endedMs - (firstByteMs ?? 0) <= BEGIN_WINDOW_MS;
}
