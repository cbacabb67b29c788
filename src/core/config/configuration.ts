/** The declared configuration, as checked and applied as a whole. */

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

/** Order in which waiting requests are served when servers run short. */
export type Priority = "interactive" | "standard" | "batch";

/** A client account: who may call, and what it may use. */
export interface Account {
  readonly id: AccountId;
  /** SHA-256 of each API key; the keys themselves are never kept. */
  readonly keys: readonly Sha256[];
  /** Models and cascades that the account may name. */
  readonly models: readonly string[];
  /** Plain services that the account may call. */
  readonly services: readonly ServiceId[];
  readonly priority: Priority;
  /** Requests that the account may have in flight at one entry. */
  readonly max_in_flight: number;
}

/** `withdrawn` versions get no new work. */
export type VersionState = "serving" | "withdrawn";

/** One version of a model. */
export interface ModelVersion {
  readonly id: VersionId;
  readonly state: VersionState;
  /** Price of 1000 generated tokens, in the operator's own currency. */
  readonly cost_per_1k_tokens: number;
}

/** A model and its versions. */
export interface Model {
  readonly id: ModelId;
  /** Version that serves whatever no roll-out moves. */
  readonly stable: VersionId;
  readonly versions: readonly ModelVersion[];
}

/** Models tried in order, cheapest first, until an answer looks good enough. */
export interface Cascade {
  readonly id: CascadeId;
  /** Models or other cascades, in order of trial. */
  readonly steps: readonly string[];
  /** Mean log-probability of tokens under which an answer is escalated. */
  readonly escalate_below: number;
  /** Tokens of a streamed answer that are held back until it is judged. */
  readonly judge_tokens: number;
}

/** A plan that moves traffic of a model to a new version. */
export interface RollOut {
  readonly id: RollOutId;
  readonly model: ModelId;
  readonly to: VersionId;
  /** Share of sessions on the new version now, 0 to 100. */
  readonly percent: number;
}

/** A kind of call that a plain service takes. */
export interface ServiceRoute {
  /** Path prefix below the service, such as `/stock/`. */
  readonly path: string;
  readonly methods: readonly string[];
  /** Whether the same call may safely be sent twice. */
  readonly repeatable: boolean;
}

/** A service without a model that fieldrack routes to as well. */
export interface PlainService {
  readonly id: ServiceId;
  readonly routes: readonly ServiceRoute[];
}

/** What a model server serves: one version of one model. */
export interface ServedVersion {
  readonly model: ModelId;
  readonly version: VersionId;
}

/** A backend server: a model server or one instance of a plain service. */
export interface BackendServer {
  readonly id: BackendId;
  readonly data_centre: DataCentreId;
  /** Base URL, by IP number. */
  readonly url: string;
  /** Versions that a model server serves; empty for plain services. */
  readonly versions: readonly ServedVersion[];
  /** Plain service of which this is an instance. */
  readonly service?: ServiceId;
  /** Requests that the server works on at once. */
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

/** Names of the parts of a configuration. */
export type Section = keyof Configuration;

/** All sections, in the order in which they are checked and stored. */
export const SECTIONS: readonly Section[] = [
  "accounts",
  "models",
  "cascades",
  "roll_outs",
  "services",
  "backends",
];

/** A configuration that declares nothing. */
export const EMPTY_CONFIGURATION: Configuration = {
  accounts: [],
  models: [],
  cascades: [],
  roll_outs: [],
  services: [],
  backends: [],
};
