/** Decodes the entries that backend servers write to the store. */

import * as z from "zod";
import type {
  DataCentreId,
  InstanceId,
  ReleaseId,
  ServiceId,
} from "../core/ids.ts";
import { fail, ok, type Result } from "../core/result.ts";
import type { ServerRecord } from "../core/servers/server_record.ts";
import { type DecodeError, toDecodeError } from "./decode_error.ts";
import type { ObjectContent } from "./object_store.ts";

/** Kind of the entries of backend servers in the store. */
export const SERVER_KIND = "servers";

/** `IP:port`; host names are not supported. */
const ADDRESS_PATTERN =
  /^(?:\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):(\d{1,5})$/;
const MAX_PORT = 65_535;

function isAddress(text: string): boolean {
  const port = Number(ADDRESS_PATTERN.exec(text)?.[1] ?? 0);
  return port > 0 && port <= MAX_PORT;
}

/**
 * Entries may be written by others than servers. An entry is rejected if it lacks a field that is
 * needed to use the server, or if a field has a type or state that no server writes.
 */
const serverSchema = z.object({
  Service: z.string().min(1),
  Address: z.string().refine(isAddress, "expected an IP address and a port"),
  Zone: z.string().min(1),
  Version: z.string(),
  Slots: z.number().min(0),
  State: z.enum(["ready", "draining"]),
  WarmupLeftMs: z.number().min(0).default(0),
  // A missing or malformed start time leaves the incarnation unknown, but the entry stays valid.
  born: z.int().min(0).optional().catch(undefined),
});

/** Returns the fields of an entry that `decodeServer` reads; none if it cannot be decoded. */
export function normalizeServer({ spec }: ObjectContent): ObjectContent {
  const { data = null } = serverSchema.safeParse(spec);
  return { spec: data, status: null };
}

/** Decodes an entry; the name of its object is the instance id. */
export function decodeServer(
  name: string,
  spec: unknown,
): Result<ServerRecord, DecodeError> {
  const parsed = serverSchema.safeParse(spec);
  if (!parsed.success) {
    return fail(toDecodeError(`server ${name}`, parsed.error));
  }
  const wire = parsed.data;
  return ok({
    instance: name as InstanceId,
    service: wire.Service as ServiceId,
    address: wire.Address,
    dataCentre: wire.Zone as DataCentreId,
    // The release of the server's software, not the version of a model's weights.
    release: wire.Version as ReleaseId,
    slots: wire.Slots,
    state: wire.State,
    coldForMs: wire.WarmupLeftMs,
    bornMs: wire.born,
  });
}
