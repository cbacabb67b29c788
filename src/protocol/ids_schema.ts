/** Schemas of ids, shared by all wire and file formats. */

import * as z from "zod";

const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}$/;
const SHA256_PATTERN = /^[0-9a-f]{64}$/;

/** Returns the schema of one type of id: lower-case letters, digits, `.`, `_` and `-`. */
export function nameSchema<Id extends string>(): z.ZodType<Id, string> {
  return z.string().regex(
    NAME_PATTERN,
    "Expected 1 to 63 of a-z, 0-9, '.', '_' and '-', starting with a letter or digit",
  ) as unknown as z.ZodType<Id, string>;
}

/** Schema of a SHA-256 hash in lower-case hex. */
export const sha256Schema = z.string().regex(
  SHA256_PATTERN,
  "Expected 64 lower-case hex digits",
);

/** Schema of an address: an IP address and a port. */
export const addressSchema = z.string().regex(
  /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$|^\[[0-9a-f:]+\]:\d{1,5}$/,
  "Expected an IP address and a port, such as 10.0.0.5:8080",
);
