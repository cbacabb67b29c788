/** Passes a stream on to its caller by whole events, from one server or several. */

import type { Buffer } from "node:buffer";
import { EventSplitter } from "../backends/event_splitter.ts";
import type { CallerExchange } from "./caller_exchange.ts";

/** Knows after which event the stream goes on. */
export class StreamRelay {
  readonly #exchange: CallerExchange;
  #splitter = new EventSplitter();
  #lastEvent: string | undefined;

  constructor(exchange: CallerExchange) {
    this.#exchange = exchange;
    this.#lastEvent = exchange.head.lastEvent;
  }

  /** Last event that the caller has; undefined before the first. */
  get lastEvent(): string | undefined {
    return this.#lastEvent;
  }

  /** Passes on what is whole; returns false while the caller does not keep up. */
  write(chunk: Buffer, onDrain: () => void): boolean {
    const whole = this.#splitter.push(chunk);
    if (whole === undefined) return true;
    this.#lastEvent = whole.lastId ?? this.#lastEvent;
    if (this.#exchange.write(whole.bytes)) return true;
    this.#exchange.onDrain(onDrain);
    return false;
  }

  /** Ends the stream; returns false where its last event was cut short. */
  end(): boolean {
    if (this.#splitter.pendingBytes > 0) return false;
    this.#exchange.endStream();
    return true;
  }

  /** Forgets a part of an event, before another server goes on. */
  restart(): void {
    this.#splitter = new EventSplitter();
  }
}
