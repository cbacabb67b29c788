/** What operators and callers saw while configurations changed under faults. */

import { writeFileSync } from "node:fs";

/** An apply, with the time at which its outcome was known. */
export interface AppliedEvent {
  readonly kind: "applied";
  /** Which content it was. */
  readonly content: number;
  readonly revision: number;
  /** When the operator first sent it; from then on it may have been in effect. */
  readonly invokedMs: number;
  readonly atMs: number;
}

/** An answer that was decided by some revision. */
export interface AnsweredEvent {
  readonly kind: "answered";
  readonly entry: string;
  readonly invokedMs: number;
  readonly returnedMs: number;
  readonly revision: number;
  /** Version that answered. */
  readonly version: string;
}

/** A request for the model that every second content forbids. */
export interface GuardedEvent {
  readonly kind: "guarded";
  readonly entry: string;
  readonly invokedMs: number;
  readonly returnedMs: number;
  readonly allowed: boolean;
}

/** Work that a model server got. */
export interface WorkEvent {
  readonly kind: "work";
  readonly version: string;
  readonly atMs: number;
}

/** Any event. */
export type HistoryEvent =
  | AppliedEvent
  | AnsweredEvent
  | GuardedEvent
  | WorkEvent;

/** Events of one run, in the order in which they became known. */
export class ConfigurationHistory {
  readonly #events: HistoryEvent[] = [];

  /** Records an event. */
  record(event: HistoryEvent): void {
    this.#events.push(event);
  }

  /** Events of one kind. */
  of<K extends HistoryEvent["kind"]>(
    kind: K,
  ): Extract<HistoryEvent, { kind: K }>[] {
    return this.#events.filter((event) => event.kind === kind) as Extract<
      HistoryEvent,
      { kind: K }
    >[];
  }

  /** Writes all events to a file, a line each. */
  writeTo(file: string): void {
    const lines = this.#events.map((event) => JSON.stringify(event));
    writeFileSync(file, `${lines.join("\n")}\n`);
  }

  /** Number of events. */
  get size(): number {
    return this.#events.length;
  }
}
