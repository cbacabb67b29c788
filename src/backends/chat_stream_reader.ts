/** Reads the streamed response of a model server. */

import { createParser } from "eventsource-parser";
import type { Dispatcher } from "undici";
import type { RequestId } from "../core/ids.ts";
import { chatChunkSchema, END_OF_STREAM } from "../protocol/chat_schema.ts";
import { toBackendError } from "./backend_error.ts";
import { MAX_EVENT_BYTES } from "./response_limits.ts";
import type { ChatStream, StreamEvent } from "./model_servers.ts";

/** Response body as provided by undici. */
type Body = Dispatcher.ResponseData["body"];

/** Yields the events of `body`; the last one has the tag `cut` if the stream ends prematurely. */
export async function* readChatStream(
  body: Body,
  requestId: RequestId,
): ChatStream {
  let batch: StreamEvent[] = [];
  let ended = false;
  const parser = createParser({
    onEvent: ({ data }) => batch.push(parseEvent(data, requestId)),
    onError: ({ message, type }) => {
      if (type === "max-buffer-size-exceeded") batch.push(cut(message));
    },
    maxBufferSize: MAX_EVENT_BYTES,
  });
  const decoder = new TextDecoder();
  try {
    for await (const bytes of body.iterator({ destroyOnReturn: false })) {
      parser.feed(decoder.decode(bytes, { stream: true }));
      if (batch.length === 0) continue;
      const endIndex = batch.findIndex((event) => event.tag !== "chunk");
      if (endIndex < 0) {
        yield batch;
        batch = [];
        continue;
      }
      ended = batch[endIndex]?.tag === "end";
      yield batch.slice(0, endIndex + 1);
      return;
    }
    yield [cut("stream ended without its end marker")];
  } catch (err) {
    yield [{ tag: "cut", error: toBackendError(err) }];
  } finally {
    release(body, ended);
  }
}

/** Keeps the connection for reuse if the stream ended properly, and closes it otherwise. */
function release(body: Body, ended: boolean): void {
  if (ended) void body.dump();
  // Destroying an unread body emits an `error` event, which ends the process if unhandled.
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
  if (!parsed.success) return cut("event does not match its schema");
  if (parsed.data.id !== requestId) return cut("event of another request");
  return { tag: "chunk", text: data, chunk: parsed.data };
}

function cut(reason: string): StreamEvent {
  return { tag: "cut", error: { tag: "wrong_answer", reason } };
}
