/**
 * Writes objects of kinds that no VM follows. All kinds share one revision counter, so that VMs
 * which did not know of such a write would take its revision for a missed change of the kinds that
 * they follow, and list all of these again.
 */

import type { Result } from "../core/result.ts";
import type {
  ObjectAnswer,
  ObjectKey,
  ObjectStore,
  StoreCall,
  StoreError,
  StorePosition,
} from "../platform/object_store.ts";
import { MAX_DIGEST_WRITES } from "../protocol/digest_schema.ts";
import type { Clock } from "../runtime/clock.ts";
import type { SeenRevisions } from "./seen_revisions.ts";

/** Time for which a write is advertised to other VMs; covers one lost digest. */
const ADVERTISE_MS = 3_000;

interface Deps {
  readonly objectStore: ObjectStore;
  readonly seenRevisions: SeenRevisions;
  readonly clock: Clock;
}

interface Write {
  readonly position: StorePosition;
  readonly atMs: number;
}

/** Writes objects of kinds that no VM follows, and knows where others have written. */
export class UnfollowedWriter {
  readonly #deps: Deps;
  #writes: readonly Write[] = [];
  #onWrite: () => void = () => {};

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Sets the listener for writes by this VM. */
  onWrite(listener: () => void): void {
    this.#onWrite = listener;
  }

  /** Creates an object, or replaces the spec of the existing one. */
  async put(
    key: ObjectKey,
    call: StoreCall & { readonly spec: unknown },
  ): Promise<Result<ObjectAnswer, StoreError>> {
    const { objectStore } = this.#deps;
    let result = await objectStore.create(key, call);
    if (!result.ok && result.error.tag === "conflict" && result.error.current) {
      const { revision } = result.error.current;
      result = await objectStore.replace(key, { ...call, revision });
    }
    if (result.ok) this.#record(result.value);
    return result;
  }

  /** Positions of recent writes by this VM. */
  writesToAdvertise(): readonly StorePosition[] {
    const sinceMs = this.#deps.clock.monotonicMs() - ADVERTISE_MS;
    this.#writes = this.#writes.filter(({ atMs }) => atMs >= sinceMs);
    return this.#writes.map(({ position }) => position);
  }

  /** Records the writes that another VM advertises. */
  receive(positions: readonly StorePosition[]): void {
    for (const position of positions) this.#deps.seenRevisions.add(position);
  }

  #record({ era, revision }: StorePosition): void {
    const { seenRevisions, clock } = this.#deps;
    const position = { era, revision };
    seenRevisions.add(position);
    this.#writes = [...this.#writes, { position, atMs: clock.monotonicMs() }]
      .slice(-MAX_DIGEST_WRITES);
    this.#onWrite();
  }
}
