/** Tracks the servers on which this VM runs requests suspected of crashing servers. */

import type { InstanceId } from "../core/ids.ts";

/**
 * Keeps suspected requests on separate servers. Requests that lost the same server usually share
 * a prompt, so affinity would retry them together on one other server. The one that crashes
 * servers would then break the runs of the innocent ones too, until these have no run left. On
 * separate servers, a further crash affects none of the other suspects.
 */
export class SuspectPlacement {
  readonly #counts = new Map<InstanceId, number>();

  /** Servers on which suspected requests run. */
  get occupiedServers(): ReadonlySet<InstanceId> {
    return new Set(this.#counts.keys());
  }

  /** Records that a suspected request is being sent to a server. */
  add(instance: InstanceId): void {
    this.#counts.set(instance, (this.#counts.get(instance) ?? 0) + 1);
  }

  /** Records that a suspected request no longer runs on a server. */
  remove(instance: InstanceId): void {
    const remaining = (this.#counts.get(instance) ?? 0) - 1;
    if (remaining > 0) this.#counts.set(instance, remaining);
    else this.#counts.delete(instance);
  }
}
