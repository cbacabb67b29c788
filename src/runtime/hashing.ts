/** Hash functions based on `node:crypto`. */

import { createHash } from "node:crypto";
import type { Sha256 } from "../core/ids.ts";

const UNIT_HASH_BYTES = 6;
const UNIT_HASH_RANGE = 2 ** (8 * UNIT_HASH_BYTES);

/** Returns the SHA-256 of a text in lower-case hex. */
export function sha256(text: string): Sha256 {
  return createHash("sha256").update(text).digest("hex") as Sha256;
}

/** Returns the first `length` hex characters of the SHA-256 of the concatenated parts. */
export function shortDigest(
  parts: readonly (string | Uint8Array)[],
  length: number,
): string {
  const hash = createHash("sha256");
  for (const part of parts) hash.update(part);
  return hash.digest("hex").slice(0, length);
}

/** Hashes a text to a number in the interval [0, 1). */
export function unitHash(text: string): number {
  const digest = createHash("sha256").update(text).digest();
  return digest.readUIntBE(0, UNIT_HASH_BYTES) / UNIT_HASH_RANGE;
}
