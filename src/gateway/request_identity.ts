/** Identifies attempts by callers at the same request. */

import type { RequestSuspects } from "../core/crashes/crash.ts";
import type {
  AccountId,
  PartKey,
  PromptPartId,
  RequestKey,
  ServiceId,
} from "../core/ids.ts";
import { shortDigest } from "../runtime/hashing.ts";

/** Hexadecimal digits of a key: 128 bits make collisions between requests negligible. */
const KEY_LENGTH = 32;

/** Longer ids of prompt parts are replaced by a digest, as callers choose them. */
const MAX_PART_ID_LENGTH = 64;

/** Fields of a request that a caller's retry repeats, unlike attempt ids and deadlines. */
export interface RequestFields {
  readonly method: string;
  readonly host: string;
  /** Path and query. */
  readonly url: string;
  readonly account: AccountId | undefined;
  readonly body: Uint8Array | undefined;
}

/** The prompt of a request, for one service. */
export interface RequestPrompt {
  readonly service: ServiceId;
  /** Parts in order; other requests may share all but the last one. */
  readonly parts: readonly { readonly id: PromptPartId }[];
}

/** Computes the keys of a request lazily, as few requests need them. */
export class RequestIdentity {
  readonly #fields: RequestFields;
  readonly #prompt: RequestPrompt;
  #key: RequestKey | undefined;
  #parts: readonly PartKey[] | undefined;

  constructor(fields: RequestFields, prompt: RequestPrompt) {
    this.#fields = fields;
    this.#prompt = prompt;
  }

  /** Key that is the same for all attempts at the request, on every VM. */
  get key(): RequestKey {
    this.#key ??= keyOf(this.#fields);
    return this.#key;
  }

  /** Keys of the prompt parts that other requests may share. */
  get parts(): readonly PartKey[] {
    this.#parts ??= partKeysOf(this.#prompt);
    return this.#parts;
  }

  /** Everything by which the request can be suspected. */
  get suspects(): RequestSuspects {
    return { request: this.key, parts: this.parts };
  }
}

function keyOf(
  { method, host, url, account, body }: RequestFields,
): RequestKey {
  const head = JSON.stringify([method, host, url, account ?? null]);
  const parts = body === undefined ? [head] : [head, body];
  return shortDigest(parts, KEY_LENGTH) as RequestKey;
}

function partKeysOf({ service, parts }: RequestPrompt): readonly PartKey[] {
  const keys = parts.slice(0, -1).map(({ id }) => {
    const short = id.length > MAX_PART_ID_LENGTH
      ? shortDigest([id], KEY_LENGTH)
      : id;
    return `${service}/${short}` as PartKey;
  });
  return [...new Set(keys)];
}
