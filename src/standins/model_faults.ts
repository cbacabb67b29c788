/** Faults of a model server stand-in. */

import * as z from "zod";

/** Schema of the faults that are on. */
export const modelFaultsSchema = z.strictObject({
  /** Requests are answered with this status. */
  status: z.int().optional(),
  /** Connections are cut after the request has been taken in. */
  cut_before_answer: z.boolean().optional(),
  /** Streams are cut after so many tokens. */
  cut_after_tokens: z.int().optional(),
  /** Streams end after so many tokens, without their proper end. */
  end_after_tokens: z.int().optional(),
  /** Answers carry the id of another request. */
  wrong_id: z.boolean().optional(),
  /** Versions that answer wrongly while looking right, as `model@version`. */
  wrong_versions: z.array(z.string()).optional(),
});

/** Faults that are on. */
export type ModelFaults = z.infer<typeof modelFaultsSchema>;
