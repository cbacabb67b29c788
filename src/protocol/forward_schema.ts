/** Headers by which one VM forwards the request of a caller to another. */

import * as z from "zod";
import type { EntryId } from "../core/ids.ts";

/** Request header with the origin of a forwarded request, as JSON. */
export const FORWARD_ORIGIN_HEADER = "forward-origin";
/** Response header: the VM sent the request to no server and will not; another VM may be asked. */
export const FORWARD_DECLINED_HEADER = "forward-declined";

const forwardOriginSchema = z.object({
  vm: z.string().min(1).transform((id) => id as EntryId),
  configurationVersion: z.number(),
  isCounted: z.boolean(),
});

/** Where a forwarded request comes from. */
export interface ForwardOrigin {
  /** VM that forwards the request. */
  readonly vm: EntryId;
  /** Version of the configuration under which that VM admitted the request. */
  readonly configurationVersion: number;
  /** Whether that VM has counted the request towards its retry budget. */
  readonly isCounted: boolean;
}

/** Encodes the origin for its header. */
export function encodeForwardOrigin(origin: ForwardOrigin): string {
  return JSON.stringify(origin);
}

/** Decodes the header; undefined if it is missing or invalid. */
export function decodeForwardOrigin(
  header: string | string[] | undefined,
): ForwardOrigin | undefined {
  if (typeof header !== "string") return undefined;
  try {
    const parsed = forwardOriginSchema.safeParse(JSON.parse(header));
    return parsed.success ? parsed.data : undefined;
  } catch {
    // Not JSON, so it was not written by a VM.
    return undefined;
  }
}
