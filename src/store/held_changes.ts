/** Delays changes that a restored store seems to have made only because its copy is older. */

import type { StoreEvent } from "../platform/object_store.ts";

/**
 * Time for operators to write again what the store has lost. Longer than they take, but an order
 * that they have given anew with the content of an earlier one must not wait for long.
 */
export const OPERATOR_HOLD_MS = 10_000;

interface Batch {
  readonly events: ReadonlyMap<string, StoreEvent>;
  readonly timer: NodeJS.Timeout;
}

/** Holds changes back until their objects change again, for a limited time. */
export class HeldChanges {
  readonly #report: (event: StoreEvent) => void;
  readonly #batches = new Set<Batch>();
  readonly #batchByName = new Map<string, Batch>();

  constructor(report: (event: StoreEvent) => void) {
    this.#report = report;
  }

  /** Reports the changes after `holdMs`, except those that are dropped until then. */
  hold(events: readonly StoreEvent[], holdMs: number): void {
    if (events.length === 0) return;
    if (holdMs === 0) return events.forEach((event) => this.#report(event));
    const batch: Batch = {
      events: new Map(events.map((event) => [event.object.name, event])),
      timer: setTimeout(() => this.#release(batch), holdMs),
    };
    this.#batches.add(batch);
    for (const { object } of events) this.#batchByName.set(object.name, batch);
  }

  /** Whether a change of the object is held back. */
  has(name: string): boolean {
    return this.#batchByName.has(name);
  }

  /** Drops the held change of an object, because a later one is known. */
  drop(name: string): void {
    this.#batchByName.delete(name);
  }

  /** Drops all held changes. */
  stop(): void {
    for (const { timer } of this.#batches) clearTimeout(timer);
    this.#batches.clear();
    this.#batchByName.clear();
  }

  #release(batch: Batch): void {
    this.#batches.delete(batch);
    for (const [name, event] of batch.events) {
      if (this.#batchByName.get(name) !== batch) continue;
      this.#batchByName.delete(name);
      this.#report(event);
    }
  }
}
