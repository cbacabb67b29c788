/** Messages between entry VMs. */

import { z } from "zod";
import type { Member } from "../core/membership/member.ts";
import type { DataCentreId, EntryId, Revision } from "../core/ids.ts";
import { nameSchema } from "./ids_schema.ts";

/** Schema of what is told about one entry VM. */
export const memberSchema: z.ZodType<Member, unknown> = z.object({
  id: nameSchema<EntryId>(),
  data_centre: nameSchema<DataCentreId>(),
  callers: z.string(),
  peers: z.string(),
  incarnation: z.number(),
  state: z.enum(["alive", "suspect", "leaving", "dead"]),
  revision: z.number().transform((n) => n as Revision),
});

/** A probe: news for the asked entry VM. */
export const probeSchema = z.object({
  news: z.array(memberSchema).max(1_000),
  /** Whether the asker has just started and wants to hear of everyone. */
  joining: z.boolean(),
});

/** Answer to a probe. */
export const probeAnswerSchema = z.object({
  self: memberSchema,
  news: z.array(memberSchema),
});

/** A request to probe another entry VM on the asker's behalf. */
export const indirectProbeSchema = z.object({ target: z.string() });

/** Asks for an object of the configuration. */
export const objectRequestSchema = z.object({ sha256: z.string() });
