/** Records what callers and backend servers observed, and which faults were injected. */

import type { RetryHistory } from "../tests/fixtures/retry_count.ts";
import type { GatewayName } from "./ids.ts";

/** How a request may be repeated: not at all, as a whole, or as a stream that can be resumed. */
export type RequestKind = "once" | "repeatable" | "stream";

/** How a request ended for its caller. */
export type Ending =
  | { readonly tag: "answered"; readonly status: number; readonly body: string }
  /** No connection was established. */
  | { readonly tag: "not_connected" }
  /**
   * The connection ended before a complete response; `begun` if the response headers had arrived.
   */
  | { readonly tag: "cut"; readonly begun: boolean };

/** One request as its caller saw it; all times come from one monotonic clock. */
export interface RequestRecord {
  readonly attempt: string;
  readonly kind: RequestKind;
  readonly gateway: GatewayName;
  readonly key: string;
  readonly sentMs: number;
  readonly endMs: number;
  readonly ending: Ending;
}

/** An order to send no new requests to any server. */
export interface Evacuation {
  readonly orderedMs: number;
  /** From this time on the servers get requests again, starting cold. */
  liftedMs: number;
}

/** One execution of a request by a backend server. */
export interface RunRecord {
  readonly attempt: string;
  readonly server: string;
  readonly atMs: number;
  /** Client account that the gateway named; undefined if it named none. */
  readonly account: string | undefined;
  /** Whether the gateway passed on the caller's API key. */
  readonly keyForwarded: boolean;
  /** Whether the server did not send a complete response. */
  incomplete: boolean;
  /** Whether the request crashes each server that starts to run it. */
  readonly poison: boolean;
  /** Whether a part of its prompt crashes each server that starts to run it. */
  readonly badPart: boolean;
}

/** A request that reached a server, whether or not it ran there. */
export interface ArrivalRecord {
  readonly attempt: string;
  readonly atMs: number;
}

/** A crash of a server, caused by a request that it had started to run. */
export interface PoisonCrash {
  readonly server: string;
  readonly atMs: number;
}

/** What a fault affects: one gateway, or all. */
export type FaultTarget = GatewayName | "all";

/** A time span in which an injected fault was active. */
export interface FaultWindow {
  readonly name: string;
  readonly target: FaultTarget;
  readonly fromMs: number;
  untilMs: number;
}

/** A time span in which a backend server was faulty on purpose, or draining. */
export interface ServerFaultWindow {
  readonly server: string;
  readonly fromMs: number;
  /** Infinite for a server that has crashed or is draining. */
  untilMs: number;
}

/** A planned stop of a gateway. */
export interface PlannedStop {
  readonly gateway: GatewayName;
  readonly atMs: number;
}

/** A configuration as the store received it. */
export interface ConfigurationRecord {
  readonly version: number;
  readonly storedMs: number;
  readonly keys: readonly string[];
}

/** A server that was marked as draining in the store. */
export interface DrainingRecord {
  readonly server: string;
  readonly announcedMs: number;
}

/** A notice that a server sent to a gateway in the response to a request. */
export interface NoticeRecord {
  readonly server: string;
  readonly attempt: string;
  readonly atMs: number;
  /** Requested backoff in milliseconds; 0 if the server advertises that it is draining. */
  readonly backoffMs: number;
}

/** A response in which a server advertised its rate limit. */
export interface LimitRecord {
  readonly server: string;
  readonly attempt: string;
  readonly atMs: number;
}

/** A restore of the store from a copy. */
export interface RestoreRecord {
  /** Version of the configuration that the operator wrote again, and when. */
  readonly version: number;
  readonly writtenMs: number;
  /** Reading calls of all gateways in the second after the restore. */
  readonly readsPerSecond: number;
}

/** Whether a gateway had a configuration version, probed by a route that only this version has. */
export interface VersionProbe {
  readonly gateway: GatewayName;
  /** Number of the gateway process's start; a new process may start with an older version. */
  readonly incarnation: number;
  readonly startedMs: number;
  readonly version: number;
  readonly probedMs: number;
  readonly hasVersion: boolean;
}

/** All that was recorded in one run. */
export class History {
  readonly requests: RequestRecord[] = [];
  readonly runs: RunRecord[] = [];
  readonly arrivals: ArrivalRecord[] = [];
  /** Requests and retries of the service that rejects all requests. */
  rejected: RetryHistory = { sentMs: [], retriesMs: [] };
  /** Attempts to send the poison request. */
  readonly poisonRequests: RequestRecord[] = [];
  readonly poisonCrashes: PoisonCrash[] = [];
  /** Requests whose prompts hold a part that crashes servers; no two are alike. */
  readonly badPartRequests: RequestRecord[] = [];
  readonly badPartCrashes: PoisonCrash[] = [];
  readonly faultWindows: FaultWindow[] = [];
  readonly serverFaultWindows: ServerFaultWindow[] = [];
  readonly plannedStops: PlannedStop[] = [];
  readonly configurations: ConfigurationRecord[] = [];
  readonly evacuations: Evacuation[] = [];
  readonly drainingServers: DrainingRecord[] = [];
  /** Backoff notices of servers, each sent with the rejection of a request. */
  readonly backoffNotices: NoticeRecord[] = [];
  /** Draining notices of servers, each sent with the response to a request that ran. */
  readonly drainingNotices: NoticeRecord[] = [];
  /** Responses in which servers advertise the rate limit that they accept from all gateways. */
  readonly limitNotices: LimitRecord[] = [];
  readonly versionProbes: VersionProbe[] = [];
  readonly restores: RestoreRecord[] = [];
  /** Gateways that served requests after all faults had ended. */
  recovered: readonly GatewayName[] = [];
}

/** Runs of each attempt, by attempt id. */
export type Runs = ReadonlyMap<string, readonly RunRecord[]>;

/** Groups the runs of a history by attempt. */
export function runsByAttempt({ runs }: History): Runs {
  const byAttempt = new Map<string, RunRecord[]>();
  for (const run of runs) {
    const known = byAttempt.get(run.attempt);
    if (known === undefined) byAttempt.set(run.attempt, [run]);
    else known.push(run);
  }
  return byAttempt;
}
