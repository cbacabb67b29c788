/** Events that operators and callers record while configurations change under faults. */

import { writeFileSync } from "node:fs";

/** An apply that was accepted. */
export interface AppliedEvent {
  readonly kind: "applied";
  /** Number of the configuration variant, see `variantOf`. */
  readonly content: number;
  readonly revision: number;
  /** When the operator first sent it. It may be in effect from this time on. */
  readonly invokedMs: number;
  /** When the operator learned the outcome. */
  readonly atMs: number;
}

/** A successful response, with the revision according to which it was routed. */
export interface AnsweredEvent {
  readonly kind: "answered";
  readonly entry: string;
  readonly invokedMs: number;
  readonly returnedMs: number;
  readonly revision: number;
  /** Version of the model that produced the response. */
  readonly version: string;
}

/** A request for the model `guarded`, which every second variant forbids. */
export interface GuardedEvent {
  readonly kind: "guarded";
  readonly entry: string;
  readonly invokedMs: number;
  readonly returnedMs: number;
  readonly allowed: boolean;
}

/** Work that a model server received. */
export interface WorkEvent {
  readonly kind: "work";
  readonly version: string;
  readonly atMs: number;
}

/** An event of a configuration run. */
export type HistoryEvent =
  | AppliedEvent
  | AnsweredEvent
  | GuardedEvent
  | WorkEvent;

/** Events of one run, in the order in which they were recorded. */
export class ConfigurationHistory {
  readonly #events: HistoryEvent[] = [];

  record(event: HistoryEvent): void {
    this.#events.push(event);
  }

  /** Returns the events of one kind. */
  eventsOfKind<K extends HistoryEvent["kind"]>(
    kind: K,
  ): Extract<HistoryEvent, { kind: K }>[] {
    return this.#events.filter((event) => event.kind === kind) as Extract<
      HistoryEvent,
      { kind: K }
    >[];
  }

  /** Writes all events to a file, one JSON object per line. */
  writeTo(file: string): void {
    const lines = this.#events.map((event) => JSON.stringify(event));
    writeFileSync(file, `${lines.join("\n")}\n`);
  }

  get size(): number {
    return this.#events.length;
  }
}
