/** Splits a stream of server-sent events so that only complete events are forwarded. */

import { Buffer } from "node:buffer";
import { MAX_EVENT_BYTES } from "./response_limits.ts";

const EVENT_END = "\n\n";
const ID_LINE = /(?:^|\n)id: ?([^\r\n]*)/g;
const DATA_LINE = /(?:^|\n)(?:data|id):/;

/** Consecutive complete events of a stream. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  /** Id of the last event that has one; undefined if none has. */
  readonly lastId: string | undefined;
}

/** Buffers an incomplete event until the rest of it is received. */
export class EventSplitter {
  #pending: Buffer = Buffer.alloc(0);
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
    const bytes = this.#pending.length === 0
      ? chunk
      : Buffer.concat([this.#pending, chunk]);
    const end = bytes.lastIndexOf(EVENT_END);
    if (end < 0) {
      this.#pending = bytes;
      return undefined;
    }
    const complete = bytes.subarray(0, end + EVENT_END.length);
    this.#pending = bytes.subarray(end + EVENT_END.length);
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
