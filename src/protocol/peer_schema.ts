/** Messages between entry VMs. */

import * as z from "zod";
import type { Member } from "../core/membership/member.ts";
import type {
  BackendId,
  DataCentreId,
  EntryId,
  Revision,
  ServiceId,
} from "../core/ids.ts";
import { addressSchema, nameSchema } from "./ids_schema.ts";
import { headDeltaSchema, headSchema } from "./stored_schema.ts";

/** Maximum length of the name of a VM or data centre; equals that of a host name. */
const MAX_NAME_LENGTH = 253;

/** Far more than the number of services of a configuration. */
const MAX_LOST_SERVICES = 1_000;

/** Schema of the advertised state of one entry VM. */
export const memberSchema: z.ZodType<Member, unknown> = z.object({
  // VM names are assigned by the operators of the machines, so their format is not restricted.
  id: z.string().min(1).max(MAX_NAME_LENGTH).transform((id) => id as EntryId),
  data_centre: z.string().max(MAX_NAME_LENGTH).transform((id) =>
    id as DataCentreId
  ),
  callers: z.string(),
  peers: z.string(),
  incarnation: z.number(),
  state: z.enum(["alive", "suspect", "leaving", "dead"]),
  revision: z.number().transform((n) => n as Revision),
  cores: z.number().optional(),
  reachability: z.object({
    sequence: z.number(),
    lostServices: z.array(z.string().transform((id) => id as ServiceId))
      .max(MAX_LOST_SERVICES),
  }).optional(),
});

/** Schema of a probe, which carries gossip to the probed entry VM. */
export const probeSchema = z.object({
  news: z.array(memberSchema).max(1_000),
  /** Whether the sender has just started and requests the state of all members. */
  joining: z.boolean(),
});

/** Schema of the response to a probe. */
export const probeResponseSchema = z.object({
  self: memberSchema,
  /** Time since the last confirmation that no later configuration is in force. */
  confirmed_age_ms: z.number(),
  /** Entry VMs of an earlier release don't send this field, and are not witnesses. */
  is_witness: z.boolean().default(false),
  news: z.array(memberSchema),
});

/** Schema of a request to probe another entry VM on behalf of the sender. */
export const indirectProbeSchema = z.object({ target: addressSchema });

/** Schema of a request for the changes since a revision; 0 requests the complete head. */
export const headRequestSchema = z.object({
  known: z.number().transform((n) => n as Revision),
});

/** Schema of the response: the changes if they are available, otherwise the complete head. */
export const headResponseSchema = z.union([
  z.object({ delta: headDeltaSchema }),
  z.object({ head: headSchema }),
]);

/** Response to a request for the head. */
export type HeadResponse = z.infer<typeof headResponseSchema>;

/** Schema of a request for the condensed list of VMs, unless its version is still `known`. */
export const vmViewRequestSchema = z.object({ known: z.string() });

/** Schema of the part of the platform's list of VMs that entry VMs need. */
export const vmViewSchema = z.object({
  /** Changes with the content. */
  version: z.string(),
  /** Backend servers that are leaving. */
  leaving: z.array(nameSchema<BackendId>()),
  /** Peer addresses of live entry VMs. */
  entries: z.array(z.string()),
});

/** The part of the platform's list of VMs that entry VMs need. */
export type VmView = z.infer<typeof vmViewSchema>;

/** Schema of a relay's response: its view, unless already known, its revision and when it was confirmed. */
export const vmViewResponseSchema = z.object({
  view: vmViewSchema.nullable(),
  revision: z.number().transform((n) => n as Revision),
  confirmed_age_ms: z.number(),
});

/** Response of a relay to a view request. */
export type VmViewResponse = z.infer<typeof vmViewResponseSchema>;

/** Schema of a request for an object of the configuration. */
export const objectRequestSchema = z.object({ sha256: z.string() });
