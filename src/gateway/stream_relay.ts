/** Forwards an event stream to the caller in whole events, from one server or several in turn. */

import type { Buffer } from "node:buffer";
import { EventSplitter } from "../backends/event_splitter.ts";
import type { CallerExchange } from "./caller_exchange.ts";

/** Forwards complete events and tracks the ID of the last one, after which a retry resumes. */
export class StreamRelay {
  readonly #exchange: CallerExchange;
  #splitter = new EventSplitter();
  #lastEvent: string | undefined;

  constructor(exchange: CallerExchange) {
    this.#exchange = exchange;
    this.#lastEvent = exchange.head.lastEventId;
  }

  /** ID of the last event that the caller has; undefined if it has none. */
  get lastEvent(): string | undefined {
    return this.#lastEvent;
  }

  /** Forwards the events that are complete; returns false while the caller applies backpressure. */
  write(chunk: Buffer, onDrain: () => void): boolean {
    const complete = this.#splitter.push(chunk);
    if (complete === undefined) return true;
    this.#lastEvent = complete.lastId ?? this.#lastEvent;
    if (this.#exchange.write(complete.bytes)) return true;
    this.#exchange.onDrain(onDrain);
    return false;
  }

  /** Whether the last event is incomplete. */
  get hasPartialEvent(): boolean {
    return this.#splitter.pendingBytes > 0;
  }

  /** Whether an event is longer than any proper one. */
  get isOverlong(): boolean {
    return this.#splitter.isOverlong;
  }

  /** Ends the stream. */
  end(): void {
    this.#exchange.endStream();
  }

  /** Drops a partial event before another server continues the stream. */
  dropPartialEvent(): void {
    this.#splitter = new EventSplitter();
  }
}
