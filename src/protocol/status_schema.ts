/** What an entry tells operators about itself. */

import * as z from "zod";

/** Schema of the status of an entry. */
export const entryStatusSchema = z.object({
  entry: z.string(),
  data_centre: z.string(),
  /** Revision in force; 0 before the first. */
  revision: z.number(),
  /** Requests being worked on. */
  in_flight: z.number(),
  /** Entry VMs that this one knows, itself included. */
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
