/** Messages of the chat API, as used by callers and model servers. */

import * as z from "zod";

const messageSchema = z.looseObject({
  role: z.enum(["system", "user", "assistant", "tool", "developer"]),
  content: z.union([
    z.string(),
    z.array(z.looseObject({ type: z.string() })),
    z.null(),
  ]),
});

/** Schema of a caller's request; unknown fields are forwarded. */
export const chatRequestSchema = z.looseObject({
  model: z.string().min(1),
  messages: z.array(messageSchema).min(1),
  stream: z.boolean().optional(),
});

/** A caller's request. */
export type ChatRequest = z.infer<typeof chatRequestSchema>;

const logprobsSchema = z.object({
  content: z.array(z.object({ logprob: z.number() })).nullish(),
}).nullish();

/** Schema of a complete, non-streamed response of a model server. */
export const chatResponseSchema = z.looseObject({
  id: z.string(),
  choices: z.array(z.looseObject({
    message: z.looseObject({ content: z.string().nullish() }),
    finish_reason: z.string().nullish(),
    logprobs: logprobsSchema,
  })).min(1),
  usage: z.looseObject({
    prompt_tokens: z.number(),
    completion_tokens: z.number(),
  }).optional(),
});

/** A complete, non-streamed response of a model server. */
export type ChatResponse = z.infer<typeof chatResponseSchema>;

/** Schema of one event of a streamed response. */
export const chatChunkSchema = z.looseObject({
  id: z.string(),
  choices: z.array(z.looseObject({
    delta: z.looseObject({ content: z.string().nullish() }),
    finish_reason: z.string().nullish(),
    logprobs: logprobsSchema,
  })),
});

/** One event of a streamed response. */
export type ChatChunk = z.infer<typeof chatChunkSchema>;

/** Schema of a model server's load report, in requests. */
export const loadReportSchema = z.object({
  running: z.number().min(0),
  waiting: z.number().min(0),
});

/** Data of the event that marks the end of a complete stream. */
export const END_OF_STREAM = "[DONE]";
