/** Splits a stream of server-sent events so that only complete events are forwarded. */

import type { Buffer } from "node:buffer";
import { BlockBuffer } from "../runtime/block_buffer.ts";
import { MAX_EVENT_BYTES } from "./response_limits.ts";

const LF = 0x0a;
const EVENT_END = "\n\n";
const ID_LINE = /(?:^|\n)id: ?([^\r\n]*)/g;
const DATA_LINE = /(?:^|\n)(?:data|id):/;

/** Consecutive complete events of a stream. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  /** Id of the last event that has one; undefined if none has. */
  readonly lastId: string | undefined;
}

/**
 * Buffers an incomplete event until the rest of it is received. Each byte is searched and copied
 * once, however the event is cut into chunks.
 */
export class EventSplitter {
  readonly #pending = new BlockBuffer({
    maxBytes: Infinity,
    reserve: () => true,
  });
  /** Whether the incomplete event ends with a line feed, so that another one would complete it. */
  #endsWithLineFeed = false;
  #bytesWithoutData = 0;

  /** Whether an event, or a series of events without data, is longer than any proper one. */
  get isOverlong(): boolean {
    return this.#pending.length + this.#bytesWithoutData > MAX_EVENT_BYTES;
  }

  /** Number of buffered bytes of the incomplete event. */
  get pendingBytes(): number {
    return this.#pending.length;
  }

  /** Adds received bytes; returns the events that are now complete, if any. */
  push(chunk: Buffer): CompleteEvents | undefined {
    const end = this.#lastEventEnd(chunk);
    const complete = end === 0
      ? undefined
      : this.#takePendingWith(chunk.subarray(0, end));
    const rest = chunk.subarray(end);
    if (rest.length > 0) {
      this.#pending.append(rest);
      this.#endsWithLineFeed = rest.at(-1) === LF;
    }
    return complete === undefined ? undefined : this.#describe(complete);
  }

  /** Returns the offset behind the last event that ends within the chunk; 0 if none does. */
  #lastEventEnd(chunk: Buffer): number {
    const at = chunk.lastIndexOf(EVENT_END);
    if (at >= 0) return at + EVENT_END.length;
    return this.#endsWithLineFeed && chunk[0] === LF ? 1 : 0;
  }

  /** Returns the buffered bytes followed by the end of their event, and clears the buffer. */
  #takePendingWith(end: Buffer): Buffer {
    this.#endsWithLineFeed = false;
    if (this.#pending.length === 0) return end;
    this.#pending.append(end);
    const bytes = this.#pending.bytes();
    this.#pending.clear();
    return bytes;
  }

  #describe(complete: Buffer): CompleteEvents {
    const text = complete.toString("latin1");
    this.#bytesWithoutData = DATA_LINE.test(text)
      ? 0
      : this.#bytesWithoutData + complete.length;
    return { bytes: complete, lastId: lastEventId(text) };
  }
}

function lastEventId(text: string): string | undefined {
  const ids = [...text.matchAll(ID_LINE)];
  return ids.at(-1)?.[1];
}
