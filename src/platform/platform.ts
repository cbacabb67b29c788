/** Interface of the platform's object API. */

import type { Result } from "../core/result.ts";
import type { PlatformObject, VmList } from "../protocol/platform_schema.ts";

/** Reason why a call to the platform failed. */
export type PlatformError =
  | { readonly tag: "missing"; readonly key: string }
  /** The precondition of a write was not met; nothing was written. */
  | { readonly tag: "conflict"; readonly currentVersion: number }
  /** The call had no effect. */
  | { readonly tag: "unavailable"; readonly reason: string }
  | { readonly tag: "rate_limited"; readonly retryAfterMs: number }
  /** No valid response was received; a write may have taken effect. */
  | { readonly tag: "uncertain"; readonly reason: string };

/** Cancellation of a call. */
export interface CallLimits {
  readonly signal?: AbortSignal;
}

/** Input of a watch on one object. */
export interface WatchInput extends CallLimits {
  /** The watch resolves as soon as the object's version is higher than this. */
  readonly afterVersion: number;
  /** The watch resolves to `undefined` after this time without a change. */
  readonly waitMs: number;
}

/** Input of a conditional write. */
export interface WriteInput extends CallLimits {
  readonly value: string;
  /** Version that the object must have; 0 if it must not exist. */
  readonly expectedVersion: number;
}

/** Input of a request for the list of VMs. */
export interface ListVmsInput extends CallLimits {
  /** ETag of the cached list; empty if none is cached. */
  readonly etag: string;
}

/** The list of VMs; undefined if it still matches the requested ETag. */
export interface ListVmsResult {
  readonly list: VmList | undefined;
  readonly etag: string;
}

/** Client of the platform's object API. */
export interface Platform {
  get(
    key: string,
    limits?: CallLimits,
  ): Promise<Result<PlatformObject, PlatformError>>;
  /** Returns the new version of the object. */
  put(key: string, input: WriteInput): Promise<Result<number, PlatformError>>;
  watch(
    key: string,
    input: WatchInput,
  ): Promise<Result<PlatformObject | undefined, PlatformError>>;
  /** Returns all keys that start with the prefix. */
  listKeys(
    prefix: string,
    limits?: CallLimits,
  ): Promise<Result<readonly string[], PlatformError>>;
  listVms(input: ListVmsInput): Promise<Result<ListVmsResult, PlatformError>>;
}

/** Returns a human-readable reason for a failed call. */
export function describePlatformError(err: PlatformError): string {
  switch (err.tag) {
    case "missing":
      return `Object ${err.key} does not exist`;
    case "conflict":
      return `Object was changed concurrently, now at version ${err.currentVersion}`;
    case "unavailable":
      return `Platform is unavailable: ${err.reason}`;
    case "rate_limited":
      return `Platform rate limit exceeded; retry after ${err.retryAfterMs} ms`;
    case "uncertain":
      return `No valid response from the platform: ${err.reason}`;
  }
}
