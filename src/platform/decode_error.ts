/** Errors of decoding data read from the platform. */

import type * as z from "zod";

/** Describes which field is malformed and why. */
export interface DecodeError {
  readonly tag: "malformed";
  /** What was decoded, such as "settings" or "configuration". */
  readonly what: string;
  /** Path of the field, in the platform's names. */
  readonly field: string;
  readonly reason: string;
}

/** Converts the first issue of a zod error. */
export function toDecodeError(what: string, err: z.ZodError): DecodeError {
  const [issue] = err.issues;
  return {
    tag: "malformed",
    what,
    field: issue?.path.join(".") ?? "",
    reason: issue?.message ?? "does not match the schema",
  };
}

/** Returns a human-readable description of a decode error. */
export function describeDecodeError(err: DecodeError): string {
  return `${err.what}: ${err.field || "whole"}: ${err.reason}`;
}
