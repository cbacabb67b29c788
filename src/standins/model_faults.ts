/** Faults that a test can inject into a model server stand-in. */

import * as z from "zod";

/** Schema of the body of `PUT /faults`. */
export const modelFaultsSchema = z.strictObject({
  /** Every chat request is answered with this status. */
  status: z.int().optional(),
  /** The request is accepted, then its connection is closed without an answer. */
  cut_before_answer: z.boolean().optional(),
  /** Number of tokens after which a stream is aborted with its connection. */
  cut_after_tokens: z.int().optional(),
  /** Number of tokens after which a stream ends cleanly, but without the end-of-stream event. */
  end_after_tokens: z.int().optional(),
  /** Answers carry a wrong request id. */
  wrong_id: z.boolean().optional(),
  /** Versions, as `model@version`, that give wrong answers with high token probabilities. */
  wrong_versions: z.array(z.string()).optional(),
});

/** Active faults. */
export type ModelFaults = z.infer<typeof modelFaultsSchema>;
