/** Backend servers that are cold, and can handle little load until they have warmed up. */

import type { InstanceId } from "../ids.ts";

/** Stores when each cold server will be warm, by the monotonic clock. */
export class ColdServers {
  readonly #untilMs = new Map<InstanceId, number>();

  /**
   * Marks a server as cold for another `leftMs` milliseconds. Updates can be delayed, so the latest end
   * is kept: it is safer to treat a server as cold for too long than for too short.
   * Returns whether the server counted as warm before.
   */
  markCold(
    instance: InstanceId,
    { leftMs, nowMs }: { leftMs: number; nowMs: number },
  ): boolean {
    const known = this.#untilMs.get(instance) ?? 0;
    if (leftMs <= 0 || nowMs + leftMs <= known) return false;
    this.#untilMs.set(instance, nowMs + leftMs);
    return known <= nowMs;
  }

  /** Milliseconds until a server is warm; 0 if it is. */
  leftMs(instance: InstanceId, nowMs: number): number {
    return Math.max(0, (this.#untilMs.get(instance) ?? 0) - nowMs);
  }

  /** Number of cold servers. */
  count(nowMs: number): number {
    for (const [instance, untilMs] of this.#untilMs) {
      if (untilMs <= nowMs) this.#untilMs.delete(instance);
    }
    return this.#untilMs.size;
  }
}
