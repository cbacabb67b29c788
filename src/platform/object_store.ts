/** The platform's store of objects, as the rest of the program sees it. */

import type { Result } from "../core/result.ts";

/** One object of a kind. */
export interface StoredObject {
  readonly name: string;
  /** Revision of its last change. */
  readonly revision: number;
  /** What its owner declares. */
  readonly spec: unknown;
  /** What is reported of it. */
  readonly status: unknown;
}

/** A change of an object. */
export interface StoreEvent {
  readonly object: StoredObject;
  readonly deleted: boolean;
}

/** All objects of a kind at one revision of the store. */
export interface StoreListing {
  readonly objects: readonly StoredObject[];
  readonly revision: number;
}

/** Changes of a kind up to one revision of the store. */
export interface StoreChanges {
  readonly events: readonly StoreEvent[];
  readonly revision: number;
}

/** Why a call of the store failed. */
export type StoreError =
  | { readonly tag: "missing" }
  /** Condition of a write did not hold; nothing was written. */
  | { readonly tag: "conflict"; readonly current: StoredObject | undefined }
  /** Changes since the revision are no longer known; list again. */
  | { readonly tag: "history_lost" }
  /** Call had no effect. */
  | { readonly tag: "unavailable"; readonly reason: string }
  | { readonly tag: "rate_limited" }
  /** No answer came; a write may have taken effect, or may do so later. */
  | { readonly tag: "uncertain"; readonly reason: string };

/** Names an object. */
export interface ObjectKey {
  readonly kind: string;
  readonly name: string;
}

/** Limits of one call. */
export interface StoreCall {
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
}

/** Client of the store. */
export interface ObjectStore {
  get(
    key: ObjectKey,
    call: StoreCall,
  ): Promise<Result<StoredObject, StoreError>>;
  list(
    kind: string,
    call: StoreCall,
  ): Promise<Result<StoreListing, StoreError>>;
  /** Answers as soon as an object of the kind has changed, or after `waitMs`. */
  watch(
    kind: string,
    call: StoreCall & { readonly revision: number; readonly waitMs: number },
  ): Promise<Result<StoreChanges, StoreError>>;
  create(
    key: ObjectKey,
    call: StoreCall & { readonly spec: unknown },
  ): Promise<Result<StoredObject, StoreError>>;
  /** Replaces what is declared, if the object is still at `revision`. */
  replace(
    key: ObjectKey,
    call: StoreCall & { readonly spec: unknown; readonly revision: number },
  ): Promise<Result<StoredObject, StoreError>>;
  /** Replaces what is reported, if the object is still at `revision`. */
  replaceStatus(
    key: ObjectKey,
    call: StoreCall & { readonly status: unknown; readonly revision: number },
  ): Promise<Result<StoredObject, StoreError>>;
}

/** Says in words why a call failed. */
export function describeStoreError(err: StoreError): string {
  switch (err.tag) {
    case "missing":
      return "Object does not exist";
    case "conflict":
      return `Object has changed, now at revision ${
        err.current?.revision ?? "unknown"
      }`;
    case "history_lost":
      return "Changes since the revision are no longer known";
    case "unavailable":
      return `Store is away: ${err.reason}`;
    case "rate_limited":
      return "Store takes no more calls at present";
    case "uncertain":
      return `Store gave no answer: ${err.reason}`;
  }
}
