/** Messages by which VMs request permits for a rate-limited server from a VM that owns its permits. */

import * as z from "zod";
import type { InstanceId } from "../core/ids.ts";

/** Schema of a permit request, which names the server incarnation. */
export const permitRequestSchema = z.object({
  instance: z.string().transform((text) => text as InstanceId),
  bornMs: z.number().optional(),
});

/** Schema of a permit response: whether the permit is granted, and if not, when to request it again. */
export const permitResponseSchema = z.object({
  granted: z.boolean(),
  opensInMs: z.number().min(0),
});

/** Request for a permit for one server incarnation. */
export type PermitRequest = z.infer<typeof permitRequestSchema>;
/** Response to a permit request. */
export type PermitResponse = z.infer<typeof permitResponseSchema>;
