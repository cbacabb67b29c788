/** The platform's object API, as the rest of the program sees it. */

import type { Result } from "../core/result.ts";
import type { PlatformObject, VmList } from "../protocol/platform_schema.ts";

/** Why a call of the platform failed. */
export type PlatformError =
  | { readonly tag: "missing"; readonly key: string }
  /** Condition of a write did not hold; nothing was written. */
  | { readonly tag: "conflict"; readonly currentVersion: number }
  /** Call had no effect. */
  | { readonly tag: "unavailable"; readonly reason: string }
  | { readonly tag: "rate_limited"; readonly retryAfterMs: number }
  /** No answer came; a write may have taken effect. */
  | { readonly tag: "uncertain"; readonly reason: string };

/** Longest a call may take, and when to give it up. */
export interface CallLimits {
  readonly signal?: AbortSignal;
}

/** A watch of one object. */
export interface WatchInput extends CallLimits {
  /** Answer as soon as the object's version is above this. */
  readonly afterVersion: number;
  /** Answer with `undefined` after this long without a change. */
  readonly waitMs: number;
}

/** A conditional write. */
export interface WriteInput extends CallLimits {
  readonly value: string;
  /** Version that the object must have; 0 when it must not exist. */
  readonly expectedVersion: number;
}

/** A question for the list of VMs. */
export interface ListVmsInput extends CallLimits {
  /** Tag of the list that is known already; empty when none is. */
  readonly etag: string;
}

/** The list of VMs, unless it is still the known one. */
export interface ListVmsResult {
  readonly list: VmList | undefined;
  readonly etag: string;
}

/** Client of the object API. */
export interface Platform {
  get(
    key: string,
    limits?: CallLimits,
  ): Promise<Result<PlatformObject, PlatformError>>;
  /** Returns the version written. */
  put(key: string, input: WriteInput): Promise<Result<number, PlatformError>>;
  watch(
    key: string,
    input: WatchInput,
  ): Promise<Result<PlatformObject | undefined, PlatformError>>;
  /** Returns all keys with a prefix. */
  listKeys(
    prefix: string,
    limits?: CallLimits,
  ): Promise<Result<readonly string[], PlatformError>>;
  listVms(input: ListVmsInput): Promise<Result<ListVmsResult, PlatformError>>;
}

/** Says in words why a call failed. */
export function describePlatformError(err: PlatformError): string {
  switch (err.tag) {
    case "missing":
      return `Object ${err.key} does not exist`;
    case "conflict":
      return `Object is at version ${err.currentVersion}`;
    case "unavailable":
      return `Platform is away: ${err.reason}`;
    case "rate_limited":
      return `Platform takes no more calls for ${err.retryAfterMs} ms`;
    case "uncertain":
      return `Platform gave no answer: ${err.reason}`;
  }
}
