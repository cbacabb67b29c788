/** Branded id types, so that the compiler rejects an id of one kind where another is expected. */

declare const brand: unique symbol;
type Branded<Name extends string> = string & { readonly [brand]: Name };

/** Name of a client account, as declared. */
export type AccountId = Branded<"AccountId">;
/** Name of a model, as declared. */
export type ModelId = Branded<"ModelId">;
/** Name of a version within its model. */
export type VersionId = Branded<"VersionId">;
/** Name of a cascade, as declared. */
export type CascadeId = Branded<"CascadeId">;
/** Name of a roll-out plan, as declared. */
export type RollOutId = Branded<"RollOutId">;
/** Name of a plain service, as declared. */
export type ServiceId = Branded<"ServiceId">;
/** Name of a backend server, as declared. */
export type BackendId = Branded<"BackendId">;
/** Name of an entry VM, from its settings. */
export type EntryId = Branded<"EntryId">;
/** Name of a data centre. */
export type DataCentreId = Branded<"DataCentreId">;
/** Id that an entry VM assigns to a request; unique across all entry VMs. */
export type RequestId = Branded<"RequestId">;
/** Id that a caller assigns to a conversation or batch. */
export type SessionId = Branded<"SessionId">;
/** Id of a caller's attempt at a request, assigned by the caller. */
export type AttemptId = Branded<"AttemptId">;
/** Key shared by all attempts of callers at the same request. */
export type RequestKey = Branded<"RequestKey">;
/** Key of a prompt part that requests to one service share. */
export type PartKey = Branded<"PartKey">;
/** Name of a route, as declared. */
export type RouteId = Branded<"RouteId">;
/** Secret that authenticates a caller as a member of a client account. */
export type ApiKey = Branded<"ApiKey">;
/** Id that a backend server assigns to itself; it may survive a restart. */
export type InstanceId = Branded<"InstanceId">;
/** Incarnation of a backend server: one run of its process, from start to exit. */
export type ServerIncarnation = Branded<"ServerLife">;
/** Release of the software or model weights that the servers of a service run. */
export type ReleaseId = Branded<"ReleaseId">;
/** Id of a prompt part that several requests may share. */
export type PromptPartId = Branded<"PromptPartId">;
/** SHA-256 hash in lower-case hex. */
export type Sha256 = Branded<"Sha256">;
/** Number of an accepted configuration, incremented with each acceptance. */
export type Revision = number & { readonly [brand]: "Revision" };

/** Revision before the first accepted configuration. */
export const NO_REVISION = 0 as Revision;
