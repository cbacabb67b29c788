/** Hash functions by Node's crypto library. */

import { createHash } from "node:crypto";
import type { Sha256 } from "../core/ids.ts";

const UNIT_BYTES = 6;
const UNIT_SIZE = 2 ** (8 * UNIT_BYTES);

/** Lower-case hex SHA-256 of a text. */
export function sha256(text: string): Sha256 {
  return createHash("sha256").update(text).digest("hex") as Sha256;
}

/** Lower-case hex SHA-256 of parts in order, cut to so many characters. */
export function shortDigest(
  parts: readonly (string | Uint8Array)[],
  length: number,
): string {
  const hash = createHash("sha256");
  for (const part of parts) hash.update(part);
  return hash.digest("hex").slice(0, length);
}

/** Hash of a text as a number from 0 up to but not including 1. */
export function unitHash(text: string): number {
  const digest = createHash("sha256").update(text).digest();
  return digest.readUIntBE(0, UNIT_BYTES) / UNIT_SIZE;
}
