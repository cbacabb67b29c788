/** Branded ids, so that one kind of id cannot be passed where another is meant. */

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
/** Id that one entry gives to one request; unique over all entries. */
export type RequestId = Branded<"RequestId">;
/** Id that a caller gives to a conversation or batch. */
export type SessionId = Branded<"SessionId">;
/** Id of one attempt of a caller at a request; the caller chooses it. */
export type AttemptId = Branded<"AttemptId">;
/** What all attempts of callers at one and the same request have in common. */
export type RequestKey = Branded<"RequestKey">;
/** Name of a route of callers' requests, as declared. */
export type RouteId = Branded<"RouteId">;
/** Secret by which a caller shows which client account it belongs to. */
export type ApiKey = Branded<"ApiKey">;
/** Id that a backend server has given itself; it may keep it when it starts again. */
export type InstanceId = Branded<"InstanceId">;
/** One life of a backend server, from its start to its end. */
export type ServerLife = Branded<"ServerLife">;
/** Version of the software or weights that the servers of a service run. */
export type ReleaseId = Branded<"ReleaseId">;
/** Id of a part of a prompt that requests may share. */
export type PromptPartId = Branded<"PromptPartId">;
/** Lower-case hex SHA-256 of some content. */
export type Sha256 = Branded<"Sha256">;
/** Number of an accepted configuration; each acceptance adds one. */
export type Revision = number & { readonly [brand]: "Revision" };

/** Revision before any configuration has been accepted. */
export const NO_REVISION = 0 as Revision;
