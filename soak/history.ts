/** What callers and backend servers have seen, and what was done to the fleet. */

import type { RetryHistory } from "../tests/fixtures/retry_count.ts";
import type { GatewayName } from "./ids.ts";

/** Kinds of requests. */
export type RequestKind = "once" | "repeatable" | "stream";

/** How a request ended for its caller. */
export type Ending =
  | { readonly tag: "answered"; readonly status: number; readonly body: string }
  /** No connection came up. */
  | { readonly tag: "not_connected" }
  /** The connection ended without a whole answer; `begun` where its head had come. */
  | { readonly tag: "cut"; readonly begun: boolean };

/** One request as its caller saw it; all times are of one monotonic clock. */
export interface CallerRecord {
  readonly attempt: string;
  readonly kind: RequestKind;
  readonly gateway: GatewayName;
  readonly key: string;
  readonly sentMs: number;
  readonly endMs: number;
  readonly ending: Ending;
}

/** An order that no server gets anything new. */
export interface Evacuation {
  readonly saidMs: number;
  /** From then on the servers get work again, and are cold. */
  takenBackMs: number;
}

/** One run of a request at a backend server. */
export interface RunRecord {
  readonly attempt: string;
  readonly server: string;
  readonly atMs: number;
  /** Account that the gateway named; undefined where it named none. */
  readonly account: string | undefined;
  /** Whether the caller's key was passed on. */
  readonly keyShown: boolean;
  /** The server left the request without a whole answer. */
  broken: boolean;
  /** Whether the request ends each server that begins to run it. */
  readonly poison: boolean;
}

/** A request as it reached a server, whether or not it ran there. */
export interface ArrivalRecord {
  readonly attempt: string;
  readonly atMs: number;
}

/** The end of a server by the request that it had begun to run. */
export interface PoisonedServer {
  readonly server: string;
  readonly atMs: number;
}

/** Whom trouble hit: one gateway, or all. */
export type Victim = GatewayName | "all";

/** A span of time in which something was wrong by intent. */
export interface Trouble {
  readonly name: string;
  readonly victim: Victim;
  readonly fromMs: number;
  untilMs: number;
}

/** A span of time in which a backend server was out of order by intent, or leaving. */
export interface ServerTrouble {
  readonly server: string;
  readonly fromMs: number;
  /** Infinite for a server that has crashed or leaves. */
  untilMs: number;
}

/** A planned stop of a gateway. */
export interface PlannedStop {
  readonly gateway: GatewayName;
  readonly atMs: number;
}

/** A configuration as the store took it. */
export interface ConfigurationRecord {
  readonly version: number;
  readonly takenMs: number;
  readonly keys: readonly string[];
}

/** A server that was said to leave. */
export interface LeavingRecord {
  readonly server: string;
  readonly saidMs: number;
}

/** A server's word to the gateway that a request came from. */
export interface NoticeRecord {
  readonly server: string;
  readonly attempt: string;
  readonly atMs: number;
  /** How long it wants nothing, in milliseconds; 0 where it says that it leaves. */
  readonly restMs: number;
}

/** An answer in which a server named its limit. */
export interface LimitRecord {
  readonly server: string;
  readonly attempt: string;
  readonly atMs: number;
}

/** The version that a gateway showed, by a route that only it has. */
export interface ShownVersion {
  readonly gateway: GatewayName;
  /** Start of the gateway's process, which may begin anew with an older version. */
  readonly life: number;
  readonly version: number;
  readonly askedMs: number;
  readonly shown: boolean;
}

/** All that happened in one run. */
export class History {
  readonly callers: CallerRecord[] = [];
  readonly runs: RunRecord[] = [];
  readonly arrivals: ArrivalRecord[] = [];
  /** Requests and retries of the service that rejects all of them. */
  rejected: RetryHistory = { sentMs: [], retriesMs: [] };
  /** Attempts at the request that ends servers. */
  readonly poisonCallers: CallerRecord[] = [];
  readonly poisonedServers: PoisonedServer[] = [];
  readonly troubles: Trouble[] = [];
  readonly serverTroubles: ServerTrouble[] = [];
  readonly plannedStops: PlannedStop[] = [];
  readonly configurations: ConfigurationRecord[] = [];
  readonly evacuations: Evacuation[] = [];
  readonly leavings: LeavingRecord[] = [];
  /** Words of servers that ask for rest, each with a request that was turned away. */
  readonly rests: NoticeRecord[] = [];
  /** Words of servers that leave, each with a request that ran. */
  readonly leavingWords: NoticeRecord[] = [];
  /** Answers of servers that name how much they take from all gateways. */
  readonly limits: LimitRecord[] = [];
  readonly shownVersions: ShownVersion[] = [];
  /** Gateways that served when all faults were over. */
  recovered: readonly GatewayName[] = [];
}

/** Runs of each attempt. */
export type Runs = ReadonlyMap<string, readonly RunRecord[]>;

/** Sorts the runs of a history by attempt. */
export function runsByAttempt({ runs }: History): Runs {
  const byAttempt = new Map<string, RunRecord[]>();
  for (const run of runs) {
    const known = byAttempt.get(run.attempt);
    if (known === undefined) byAttempt.set(run.attempt, [run]);
    else known.push(run);
  }
  return byAttempt;
}
