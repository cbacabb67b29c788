/** Status of an entry, as reported to operators. */

import * as z from "zod";

/** Schema of the status of an entry. */
export const entryStatusSchema = z.object({
  entry: z.string(),
  data_centre: z.string(),
  /** Revision in force; 0 if there is none yet. */
  revision: z.number(),
  /** Number of requests in progress. */
  in_flight: z.number(),
  /** Entry VMs in the member table, including this one. */
  members: z.array(z.object({
    id: z.string(),
    data_centre: z.string(),
    state: z.string(),
    revision: z.number(),
    callers: z.string(),
  })),
});

/** Status of an entry. */
export type EntryStatus = z.infer<typeof entryStatusSchema>;
