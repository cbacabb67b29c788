/** Cuts a stream into whole events, so that no part of one is ever passed on alone. */

import { Buffer } from "node:buffer";

const EVENT_END = "\n\n";
const ID_LINE = /(?:^|\n)id: ?([^\r\n]*)/g;

/** Whole events of a stream. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  /** Id of the last event that has one. */
  readonly lastId: string | undefined;
}

/** Keeps the beginning of an event until the rest has come. */
export class EventSplitter {
  #pending: Buffer = Buffer.alloc(0);

  /** Bytes that wait for the rest of their event. */
  get pendingBytes(): number {
    return this.#pending.length;
  }

  /** Takes in bytes; returns the events that are whole now, if any. */
  push(chunk: Buffer): CompleteEvents | undefined {
    const bytes = this.#pending.length === 0
      ? chunk
      : Buffer.concat([this.#pending, chunk]);
    const end = bytes.lastIndexOf(EVENT_END);
    if (end < 0) {
      this.#pending = bytes;
      return undefined;
    }
    const whole = bytes.subarray(0, end + EVENT_END.length);
    this.#pending = bytes.subarray(end + EVENT_END.length);
    return { bytes: whole, lastId: lastIdOf(whole) };
  }

  /** Returns what is left at the end of the stream. */
  rest(): Buffer {
    const rest = this.#pending;
    this.#pending = Buffer.alloc(0);
    return rest;
  }
}

function lastIdOf(bytes: Buffer): string | undefined {
  const ids = [...bytes.toString("latin1").matchAll(ID_LINE)];
  return ids.at(-1)?.[1];
}
