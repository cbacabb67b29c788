/** Parses JSON request bodies; errors name the invalid field. */

import { type Buffer, isUtf8 } from "node:buffer";
import type * as z from "zod";
import type { RequestError } from "../core/request_error.ts";
import { fail, ok, type Result } from "../core/result.ts";

/** Parses a body and validates it against a schema. */
export function parseJsonBody<T>(
  body: Buffer | undefined,
  schema: z.ZodType<T>,
): Result<T, RequestError> {
  if (body === undefined || body.length === 0) {
    return malformed("body", "it is empty");
  }
  if (!isUtf8(body)) return malformed("body", "it is not valid UTF-8");
  let content: unknown;
  try {
    content = JSON.parse(body.toString("utf8"));
  } catch (err) {
    return malformed("body", (err as Error).message);
  }
  const parsed = schema.safeParse(content);
  if (parsed.success) return ok(parsed.data);
  const issue = parsed.error.issues[0];
  return malformed(
    issue?.path.join(".") || "body",
    issue?.message ?? "invalid value",
  );
}

function malformed(where: string, reason: string): Result<never, RequestError> {
  return fail({ tag: "malformed", where, reason });
}
