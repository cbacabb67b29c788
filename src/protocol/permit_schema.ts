/** Messages by which VMs ask an owner of a limited server for a place there. */

import * as z from "zod";
import type { InstanceId } from "../core/ids.ts";

/** Names the life of a server at which a place is wanted. */
export const permitRequestSchema = z.object({
  instance: z.string().transform((text) => text as InstanceId),
  bornMs: z.number().optional(),
});

/** Whether the place is lent, and if not, when it is worth asking again. */
export const permitResponseSchema = z.object({
  granted: z.boolean(),
  opensInMs: z.number().min(0),
});

/** Names the life of a server at which a place is wanted. */
export type PermitRequest = z.infer<typeof permitRequestSchema>;
/** Whether the place is lent. */
export type PermitResponse = z.infer<typeof permitResponseSchema>;
