/** Reads the configuration head from the platform. */

import { type Head, HEAD_KEY } from "../core/config/stored_configuration.ts";
import { fail, ok, type Result } from "../core/result.ts";
import type {
  CallLimits,
  Platform,
  PlatformError,
} from "../platform/platform.ts";
import { headSchema } from "../protocol/stored_schema.ts";

/** The head and its stored version; undefined and 0 before the first apply. */
export interface HeadRecord {
  readonly head: Head | undefined;
  readonly version: number;
}

/** Returns the head in force. */
export async function readHead(
  platform: Platform,
  limits: CallLimits = {},
): Promise<Result<HeadRecord, PlatformError>> {
  const object = await platform.get(HEAD_KEY, limits);
  if (!object.ok) {
    if (object.error.tag !== "missing") return object;
    return ok({ head: undefined, version: 0 });
  }
  const head = parseHead(object.value.value);
  if (head !== undefined) return ok({ head, version: object.value.version });
  return fail({
    tag: "uncertain",
    reason: "configuration head has an unsupported format",
  });
}

/** Parses a stored head; returns undefined if its format is not supported. */
export function parseHead(text: string): Head | undefined {
  try {
    return headSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}
