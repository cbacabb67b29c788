/** Answer to callers who ask which addresses to use. */

import * as z from "zod";

/** Addresses, best first, and how long to keep them. */
export const addressesSchema = z.object({
  addresses: z.array(z.object({
    /** `IP:port` for callers. */
    address: z.string(),
    data_centre: z.string(),
  })),
  /** Seconds for which a caller may keep this answer. */
  max_age: z.number(),
});

/** Addresses, best first, and how long to keep them. */
export type Addresses = z.infer<typeof addressesSchema>;
