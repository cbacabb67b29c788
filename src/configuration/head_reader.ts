/** Reads the head from the platform. */

import { type Head, HEAD_KEY } from "../core/config/stored_configuration.ts";
import { fail, ok, type Result } from "../core/result.ts";
import type {
  CallLimits,
  Platform,
  PlatformError,
} from "../platform/platform.ts";
import { headSchema } from "../protocol/stored_schema.ts";

/** The head and the platform's version of it; 0 and none before the first apply. */
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
  return fail({ tag: "uncertain", reason: "head is of an unknown form" });
}

/** Parses the text of a head; undefined when it has an unknown form. */
export function parseHead(text: string): Head | undefined {
  try {
    return headSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}
