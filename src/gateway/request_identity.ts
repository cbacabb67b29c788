/** What makes two requests of callers the same. */

import type { AccountId, RequestKey } from "../core/ids.ts";
import { shortDigest } from "../runtime/hashing.ts";

/** Characters of a key: 128 bits, so that no two requests share one by chance. */
const KEY_LENGTH = 32;

/** What callers repeat when they try again; ids of attempts and deadlines are not among it. */
export interface RepeatedParts {
  readonly method: string;
  readonly host: string;
  /** Path and query. */
  readonly url: string;
  readonly account: AccountId | undefined;
  readonly body: Uint8Array | undefined;
}

/** Works out the key of a request when it is first asked for, and only then. */
export class RequestIdentity {
  readonly #parts: RepeatedParts;
  #key: RequestKey | undefined;

  constructor(parts: RepeatedParts) {
    this.#parts = parts;
  }

  /** The same for all attempts at the request, at every VM. */
  get key(): RequestKey {
    this.#key ??= keyOf(this.#parts);
    return this.#key;
  }
}

function keyOf(
  { method, host, url, account, body }: RepeatedParts,
): RequestKey {
  const head = JSON.stringify([method, host, url, account ?? null]);
  const parts = body === undefined ? [head] : [head, body];
  return shortDigest(parts, KEY_LENGTH) as RequestKey;
}
