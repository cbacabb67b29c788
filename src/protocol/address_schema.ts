/** Response to a caller's request for entry addresses. */

import * as z from "zod";

/** Entry addresses in order of preference, and how long to cache them. */
export const addressesSchema = z.object({
  addresses: z.array(z.object({
    /** `IP:port` to which callers connect. */
    address: z.string(),
    data_centre: z.string(),
  })),
  /** Seconds for which a caller may cache this response. */
  max_age: z.number(),
});

/** Entry addresses in order of preference, and how long to cache them. */
export type Addresses = z.infer<typeof addressesSchema>;
