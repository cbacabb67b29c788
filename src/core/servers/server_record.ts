/** What the list of backend servers says of one of them. */

import type { DataCentreId, InstanceId, ReleaseId, ServiceId } from "../ids.ts";

/** `draining` servers finish what they have and take no new work. */
export type ServerState = "ready" | "draining";

/** One life of a backend server. */
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
}
