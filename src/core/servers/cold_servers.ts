/** Which backend servers have turned cold, and bear little work until they are warm again. */

import type { InstanceId } from "../ids.ts";

/** Keeps until when servers are cold, by the monotonic clock. */
export class ColdServers {
  readonly #untilMs = new Map<InstanceId, number>();

  /**
   * Notes that a server is cold for a while yet, in milliseconds. News come late, so the end
   * that is latest holds: a server is taken as cold for too long rather than for too short.
   * Returns whether it was taken as warm before.
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

  /** Milliseconds until a server is warm; 0 when it is. */
  leftMs(instance: InstanceId, nowMs: number): number {
    return Math.max(0, (this.#untilMs.get(instance) ?? 0) - nowMs);
  }

  /** Number of servers that are cold now. */
  count(nowMs: number): number {
    for (const [instance, untilMs] of this.#untilMs) {
      if (untilMs <= nowMs) this.#untilMs.delete(instance);
    }
    return this.#untilMs.size;
  }
}
