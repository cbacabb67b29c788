/** Entry of a backend server in the list, and comparison of its incarnations. */

import type {
  DataCentreId,
  InstanceId,
  ReleaseId,
  ServerIncarnation,
  ServiceId,
} from "../ids.ts";

/** `draining` servers finish running requests and take no new work. */
export type ServerState = "ready" | "draining";

/** One incarnation of a backend server, as its entry describes it. */
export interface ServerRecord {
  readonly instance: InstanceId;
  readonly service: ServiceId;
  /** `IP:port`. */
  readonly address: string;
  readonly dataCentre: DataCentreId;
  readonly release: ReleaseId;
  readonly slots: number;
  readonly state: ServerState;
  /** Time that the server still needed to warm up when it wrote this, in milliseconds; 0 if it was warm. */
  readonly coldForMs: number;
  /** When this incarnation started, by the server's own wall clock; undefined if the entry does not say. */
  readonly bornMs: number | undefined;
}

/** Identifies an incarnation of a server; without a start time it matches any incarnation. */
export type ServerIncarnationKey = Pick<ServerRecord, "instance" | "bornMs">;

/**
 * Returns the id of one incarnation of a server. A restarted server may keep its instance id, but has
 * lost its cache and running requests. Start times are compared only with each other, never with a
 * clock of this VM.
 */
export function incarnationIdOf(
  { instance, bornMs }: ServerIncarnationKey,
): ServerIncarnation {
  return (bornMs === undefined
    ? instance
    : `${instance}/${bornMs}`) as ServerIncarnation;
}

/** Whether a record describes a later incarnation than another record of the same server. */
export function isLaterIncarnation(
  { bornMs }: Pick<ServerRecord, "bornMs">,
  than: Pick<ServerRecord, "bornMs">,
): boolean {
  return bornMs !== undefined && than.bornMs !== undefined &&
    bornMs > than.bornMs;
}
