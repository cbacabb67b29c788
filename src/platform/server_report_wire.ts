/** The report that a model server gives of its state; asking for it occupies no slot. */

import * as z from "zod";

/** Path of the report. */
export const SERVER_REPORT_PATH = "/-/report";

const reportSchema = z.object({ born: z.int().min(0) });

/** Decodes when the reporting process started, by its wall clock; undefined if it does not say. */
export function decodeReportedStart(text: string): number | undefined {
  try {
    return reportSchema.safeParse(JSON.parse(text)).data?.born;
  } catch {
    // Not JSON: whatever answered is no model server.
    return undefined;
  }
}
