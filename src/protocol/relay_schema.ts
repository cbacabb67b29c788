/** Headers by which one VM relays the request of a caller to another. */

import * as z from "zod";
import type { EntryId } from "../core/ids.ts";

/** Request header with the origin of a relayed request, as JSON. */
export const RELAY_ORIGIN_HEADER = "relay-origin";
/** Response header: the VM sent the request to no server and will not; another VM may be asked. */
export const RELAY_DECLINED_HEADER = "relay-declined";

const relayOriginSchema = z.object({
  vm: z.string().min(1).transform((id) => id as EntryId),
  configurationVersion: z.number(),
  isCounted: z.boolean(),
});

/** Where a relayed request comes from. */
export interface RelayOrigin {
  /** VM that relays the request. */
  readonly vm: EntryId;
  /** Version of the configuration under which that VM admitted the request. */
  readonly configurationVersion: number;
  /** Whether that VM has counted the request towards its retry budget. */
  readonly isCounted: boolean;
}

/** Encodes the origin for its header. */
export function encodeRelayOrigin(origin: RelayOrigin): string {
  return JSON.stringify(origin);
}

/** Decodes the header; undefined if it is missing or invalid. */
export function decodeRelayOrigin(
  header: string | string[] | undefined,
): RelayOrigin | undefined {
  if (typeof header !== "string") return undefined;
  try {
    const parsed = relayOriginSchema.safeParse(JSON.parse(header));
    return parsed.success ? parsed.data : undefined;
  } catch {
    // Not JSON, so it was not written by a VM.
    return undefined;
  }
}
