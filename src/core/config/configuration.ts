/** The declared configuration, which is validated and applied as a whole. */

import type {
  AccountId,
  BackendId,
  CascadeId,
  DataCentreId,
  ModelId,
  RollOutId,
  ServiceId,
  Sha256,
  VersionId,
} from "../ids.ts";

/** Priority class of waiting requests when server capacity is short. */
export type Priority = "interactive" | "standard" | "batch";

/** A client account: its API keys, permissions and limits. */
export interface Account {
  readonly id: AccountId;
  /** SHA-256 hash of each API key; the keys themselves are never stored. */
  readonly keys: readonly Sha256[];
  /** Models and cascades that the account may request. */
  readonly models: readonly string[];
  /** Plain services that the account may call. */
  readonly services: readonly ServiceId[];
  readonly priority: Priority;
  /** Maximum number of the account's requests in flight on one entry VM. */
  readonly max_in_flight: number;
}

/** `withdrawn` versions receive no new requests. */
export type VersionState = "serving" | "withdrawn";

/** One version of a model. */
export interface ModelVersion {
  readonly id: VersionId;
  readonly state: VersionState;
  /** Price of 1000 generated tokens, in the operator's currency. */
  readonly cost_per_1k_tokens: number;
}

/** A model and its versions. */
export interface Model {
  readonly id: ModelId;
  /** Version that serves all traffic that no roll-out redirects. */
  readonly stable: VersionId;
  readonly versions: readonly ModelVersion[];
}

/** Models that are tried in order, cheapest first, until an answer is confident enough. */
export interface Cascade {
  readonly id: CascadeId;
  /** Models or other cascades, in the order in which they are tried. */
  readonly steps: readonly string[];
  /** An answer is escalated if the mean log-probability of its tokens is below this value. */
  readonly escalate_below: number;
  /** Tokens of a streamed answer that are buffered until its confidence is evaluated. */
  readonly judge_tokens: number;
}

/** A plan that shifts traffic of a model to a new version. */
export interface RollOut {
  readonly id: RollOutId;
  readonly model: ModelId;
  readonly to: VersionId;
  /** Current percentage of sessions on the new version, 0 to 100. */
  readonly percent: number;
}

/** A group of calls that a plain service accepts. */
export interface ServiceRoute {
  /** Path prefix relative to the service, such as `/stock/`. */
  readonly path: string;
  readonly methods: readonly string[];
  /** Whether the call is idempotent, so that it may safely be retried. */
  readonly repeatable: boolean;
}

/** A service without models that fieldrack routes requests to. */
export interface PlainService {
  readonly id: ServiceId;
  readonly routes: readonly ServiceRoute[];
}

/** A model version that a model server serves. */
export interface ServedVersion {
  readonly model: ModelId;
  readonly version: VersionId;
}

/** A backend server: a model server or an instance of a plain service. */
export interface BackendServer {
  readonly id: BackendId;
  readonly data_centre: DataCentreId;
  /** Base URL with an IP address as its host. */
  readonly url: string;
  /** Versions that a model server serves; empty for plain services. */
  readonly versions: readonly ServedVersion[];
  /** Plain service that the server is an instance of; absent for model servers. */
  readonly service?: ServiceId;
  /** Number of requests that the server runs concurrently. */
  readonly slots: number;
}

/** Everything that operators declare. */
export interface Configuration {
  readonly accounts: readonly Account[];
  readonly models: readonly Model[];
  readonly cascades: readonly Cascade[];
  readonly roll_outs: readonly RollOut[];
  readonly services: readonly PlainService[];
  readonly backends: readonly BackendServer[];
}

/** Name of a section of the configuration. */
export type Section = keyof Configuration;

/** All sections, in the order in which they are validated and stored. */
export const SECTIONS: readonly Section[] = [
  "accounts",
  "models",
  "cascades",
  "roll_outs",
  "services",
  "backends",
];

/** A configuration without any entries. */
export const EMPTY_CONFIGURATION: Configuration = {
  accounts: [],
  models: [],
  cascades: [],
  roll_outs: [],
  services: [],
  backends: [],
};
