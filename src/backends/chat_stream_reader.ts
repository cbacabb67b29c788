/** Reads a streamed answer of a model server. */

import { createParser } from "eventsource-parser";
import type { Dispatcher } from "undici";
import type { RequestId } from "../core/ids.ts";
import { chatChunkSchema, END_OF_STREAM } from "../protocol/chat_schema.ts";
import { toBackendError } from "./backend_error.ts";
import type { ChatStream, StreamEvent } from "./model_servers.ts";

/** Body of a response, as undici gives it. */
type Body = Dispatcher.ResponseData["body"];

/** Yields the events of `body`; without a proper end the last one is a cut. */
export async function* readChatStream(
  body: Body,
  requestId: RequestId,
): ChatStream {
  let batch: StreamEvent[] = [];
  let ended = false;
  const parser = createParser({
    onEvent: ({ data }) => batch.push(parseEvent(data, requestId)),
  });
  const decoder = new TextDecoder();
  try {
    for await (const bytes of body.iterator({ destroyOnReturn: false })) {
      parser.feed(decoder.decode(bytes, { stream: true }));
      if (batch.length === 0) continue;
      const last = batch.findIndex((event) => event.tag !== "chunk");
      if (last < 0) {
        yield batch;
        batch = [];
        continue;
      }
      ended = batch[last]?.tag === "end";
      yield batch.slice(0, last + 1);
      return;
    }
    yield [cut("answer has no end")];
  } catch (err) {
    yield [{ tag: "cut", error: toBackendError(err) }];
  } finally {
    release(body, ended);
  }
}

/** The connection of an ended stream is used again; that of any other is closed. */
function release(body: Body, ended: boolean): void {
  if (ended) void body.dump();
  // An unread body reports its end as an error, which ends the process if nobody listens.
  else body.on("error", () => {}).destroy();
}

function parseEvent(data: string, requestId: RequestId): StreamEvent {
  if (data === END_OF_STREAM) return { tag: "end" };
  let content: unknown;
  try {
    content = JSON.parse(data);
  } catch {
    return cut("event is not JSON");
  }
  const parsed = chatChunkSchema.safeParse(content);
  if (!parsed.success) return cut("event of an unknown form");
  if (parsed.data.id !== requestId) return cut("event of another request");
  return { tag: "chunk", text: data, chunk: parsed.data };
}

function cut(reason: string): StreamEvent {
  return { tag: "cut", error: { tag: "wrong_answer", reason } };
}
