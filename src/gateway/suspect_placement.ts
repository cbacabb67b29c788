/** Where suspected requests of this VM run. */

import type { InstanceId } from "../core/ids.ts";

/**
 * Keeps suspected requests from each other. Requests that lost their server together share a
 * prompt more often than not, and would go on at one other server together: the culprit ends
 * that one too, and the next, after which an innocent stream has no run left. Apart, each
 * further crash meets the culprit and nobody who was beside it before.
 */
export class SuspectPlacement {
  readonly #counts = new Map<InstanceId, number>();

  /** Servers at which suspected requests run. */
  get occupiedServers(): ReadonlySet<InstanceId> {
    return new Set(this.#counts.keys());
  }

  /** Notes that a suspected request is sent to a server. */
  add(instance: InstanceId): void {
    this.#counts.set(instance, (this.#counts.get(instance) ?? 0) + 1);
  }

  /** Notes that it no longer runs there. */
  remove(instance: InstanceId): void {
    const left = (this.#counts.get(instance) ?? 0) - 1;
    if (left > 0) this.#counts.set(instance, left);
    else this.#counts.delete(instance);
  }
}
