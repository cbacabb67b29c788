/** Messages between entry VMs. */

import * as z from "zod";
import type { Member } from "../core/membership/member.ts";
import type {
  BackendId,
  DataCentreId,
  EntryId,
  Revision,
} from "../core/ids.ts";
import { addressSchema, nameSchema } from "./ids_schema.ts";
import { headDeltaSchema, headSchema } from "./stored_schema.ts";

/** Longest name of a VM or data centre; that of a host name. */
const MAX_NAME = 253;

/** Schema of what is told about one entry VM. */
export const memberSchema: z.ZodType<Member, unknown> = z.object({
  // Names of VMs are chosen by whoever runs the machines, so their form is open.
  id: z.string().min(1).max(MAX_NAME).transform((id) => id as EntryId),
  data_centre: z.string().max(MAX_NAME).transform((id) => id as DataCentreId),
  callers: z.string(),
  peers: z.string(),
  incarnation: z.number(),
  state: z.enum(["alive", "suspect", "leaving", "dead"]),
  revision: z.number().transform((n) => n as Revision),
  cores: z.number().optional(),
});

/** A probe: news for the asked entry VM. */
export const probeSchema = z.object({
  news: z.array(memberSchema).max(1_000),
  /** Whether the asker has just started and wants to hear of everyone. */
  joining: z.boolean(),
});

/** Answer to a probe. */
export const probeResponseSchema = z.object({
  self: memberSchema,
  /** Age of the last confirmation that no later configuration is in force. */
  confirmed_age_ms: z.number(),
  /** Entry VMs of an earlier release don't tell, and are no witnesses. */
  is_witness: z.boolean().default(false),
  news: z.array(memberSchema),
});

/** A request to probe another entry VM on the asker's behalf. */
export const indirectProbeSchema = z.object({ target: addressSchema });

/** Asks for what changed since a revision; 0 asks for the whole head. */
export const headRequestSchema = z.object({
  known: z.number().transform((n) => n as Revision),
});

/** Answer: the changes where they can be told, else the whole head. */
export const headResponseSchema = z.union([
  z.object({ delta: headDeltaSchema }),
  z.object({ head: headSchema }),
]);

/** Answer to a question for the head. */
export type HeadResponse = z.infer<typeof headResponseSchema>;

/** Asks for the condensed list of VMs, unless it is still the known one. */
export const vmViewRequestSchema = z.object({ known: z.string() });

/** What entry VMs need of the platform's list of VMs. */
export const vmViewSchema = z.object({
  /** Changes with the content. */
  version: z.string(),
  /** Backend servers that leave. */
  leaving: z.array(nameSchema<BackendId>()),
  /** Peer addresses of live entry VMs. */
  entries: z.array(z.string()),
});

/** What entry VMs need of the platform's list of VMs. */
export type VmView = z.infer<typeof vmViewSchema>;

/** Answer of a relay: its view unless known, and how sure it is of its revision. */
export const vmViewResponseSchema = z.object({
  view: vmViewSchema.nullable(),
  revision: z.number().transform((n) => n as Revision),
  confirmed_age_ms: z.number(),
});

/** Answer of a relay. */
export type VmViewResponse = z.infer<typeof vmViewResponseSchema>;

/** Asks for an object of the configuration. */
export const objectRequestSchema = z.object({ sha256: z.string() });
