/** Why something read from the platform could not be understood. */

import type * as z from "zod";

/** Says which field is wrong and how. */
export interface DecodeError {
  readonly tag: "malformed";
  /** What was read, such as "settings" or "configuration". */
  readonly what: string;
  /** Path of the field, by the platform's own names. */
  readonly field: string;
  readonly reason: string;
}

/** Turns the first issue of a schema into an error. */
export function toDecodeError(what: string, err: z.ZodError): DecodeError {
  const [issue] = err.issues;
  return {
    tag: "malformed",
    what,
    field: issue?.path.join(".") ?? "",
    reason: issue?.message ?? "Unknown form",
  };
}

/** Says in words what could not be understood. */
export function describeDecodeError(err: DecodeError): string {
  return `${err.what}: ${err.field || "whole"}: ${err.reason}`;
}
