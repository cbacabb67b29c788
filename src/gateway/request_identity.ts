/** Identifies attempts by callers at the same request. */

import type { AccountId, RequestKey } from "../core/ids.ts";
import { shortDigest } from "../runtime/hashing.ts";

/** Hexadecimal digits of a key: 128 bits make collisions between requests negligible. */
const KEY_LENGTH = 32;

/** Parts of a request that a caller's retry repeats, unlike attempt ids and deadlines. */
export interface RequestParts {
  readonly method: string;
  readonly host: string;
  /** Path and query. */
  readonly url: string;
  readonly account: AccountId | undefined;
  readonly body: Uint8Array | undefined;
}

/** Computes the key of a request lazily, as few requests need it. */
export class RequestIdentity {
  readonly #parts: RequestParts;
  #key: RequestKey | undefined;

  constructor(parts: RequestParts) {
    this.#parts = parts;
  }

  /** Key that is the same for all attempts at the request, on every VM. */
  get key(): RequestKey {
    this.#key ??= keyOf(this.#parts);
    return this.#key;
  }
}

function keyOf(
  { method, host, url, account, body }: RequestParts,
): RequestKey {
  const head = JSON.stringify([method, host, url, account ?? null]);
  const parts = body === undefined ? [head] : [head, body];
  return shortDigest(parts, KEY_LENGTH) as RequestKey;
}
