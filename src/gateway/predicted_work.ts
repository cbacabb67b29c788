/** Predicts how long a request keeps a server busy, for comparing servers. */

import type { ModelId } from "../core/ids.ts";
import type { Service } from "../core/routes/route.ts";
import type { CallerHead } from "../platform/header_wire.ts";

/** Prompt tokens that a model server reads in a millisecond; of the order of 50. */
const PROMPT_TOKENS_PER_MS = 50;
/** Generated tokens are made for many requests at once; share of each in milliseconds. */
const MS_PER_OUTPUT_TOKEN = 0.3;
/** Work of a request to a plain service; only compared with others of its kind. */
const PLAIN_WORK_MS = 20;
/** Share of shared parts of a prompt that servers usually still hold. */
const CACHED_SHARE = 0.8;

/** Returns predicted milliseconds. */
export function predictedWorkMs(
  head: CallerHead,
  { service, model }: {
    service: Service | undefined;
    model: ModelId | undefined;
  },
): number {
  const engine = service?.engine;
  if (engine === undefined) return PLAIN_WORK_MS;
  const shared = head.promptParts.slice(0, -1)
    .reduce((sum, part) => sum + part.tokens, 0);
  const toRead = Math.max(0, head.promptTokens - CACHED_SHARE * shared);
  const work = toRead / PROMPT_TOKENS_PER_MS +
    head.outputTokens * MS_PER_OUTPUT_TOKEN;
  const most = Math.max(
    ...engine.models.map(({ costPer1kTokens }) => costPer1kTokens),
  );
  const cost = engine.models.find(({ id }) => id === model)?.costPer1kTokens;
  // Dearer models are slower, roughly in proportion.
  const pace = cost === undefined || most <= 0 ? 1 : Math.max(0.1, cost / most);
  return 1 + work * pace;
}
