/** What the list of backend servers says of one of them. */

import type {
  DataCentreId,
  InstanceId,
  ReleaseId,
  ServerIncarnation,
  ServiceId,
} from "../ids.ts";

/** `draining` servers finish what they have and take no new work. */
export type ServerState = "ready" | "draining";

/** One life of a backend server, as its entry tells it. */
export interface ServerRecord {
  readonly instance: InstanceId;
  readonly service: ServiceId;
  /** `IP:port`. */
  readonly address: string;
  readonly dataCentre: DataCentreId;
  readonly release: ReleaseId;
  readonly slots: number;
  readonly state: ServerState;
  /** How long the server stayed cold as it wrote this, in milliseconds; 0 when it was warm. */
  readonly coldForMs: number;
  /** When this life began, by the server's own time of day; undefined where it does not tell. */
  readonly bornMs: number | undefined;
}

/** What tells one life of a server from others; without a birth any may be meant. */
export type ServerLifeKey = Pick<ServerRecord, "instance" | "bornMs">;

/**
 * Names one life of a server. One that starts again may keep its id; what it held and ran before
 * is gone. Births are compared with each other only, never with a clock here.
 */
export function lifeOf(
  { instance, bornMs }: ServerLifeKey,
): ServerIncarnation {
  return (bornMs === undefined
    ? instance
    : `${instance}/${bornMs}`) as ServerIncarnation;
}

/** Whether a record tells of a later life than another one of the same server. */
export function isLaterLife(
  { bornMs }: Pick<ServerRecord, "bornMs">,
  than: Pick<ServerRecord, "bornMs">,
): boolean {
  return bornMs !== undefined && than.bornMs !== undefined &&
    bornMs > than.bornMs;
}
