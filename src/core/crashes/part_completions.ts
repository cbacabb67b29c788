/** Completed requests with prompt parts under suspicion, which show that the parts crash no server. */

import type { PartKey } from "../ids.ts";

/**
 * A completion also clears a part of crashes up to this much later: while all servers are down
 * nothing completes, and they take some seconds to start again.
 */
const CLEARED_AFTER_MS = 5_000;
/** Minimum time between two recorded completions of one part. */
const RECORD_INTERVAL_MS = 500;
/** Retention of a part that has not completed since. */
const RETENTION_MS = 600_000;
/** Maximum number of parts; bounds memory to about 1 MB. */
const MAX_PARTS = 8_192;

/** A request with this part has completed. */
export interface PartCompletion {
  readonly part: PartKey;
  readonly atMs: number;
}

interface Latest {
  atMs: number;
  /** When the completion last cleared the part here, which other VMs must know; -Infinity if it did not. */
  clearedAtMs: number;
}

/** The latest completion of each part that was ever under suspicion. */
export class PartCompletions {
  /** The longest without a completion first. */
  readonly #latest = new Map<PartKey, Latest>();

  /** Whether any completion of a part is recorded. */
  has(part: PartKey): boolean {
    return this.#latest.has(part);
  }

  /** Records a completion; returns false if it adds nothing to one that is recorded. */
  record({ part, atMs }: PartCompletion): boolean {
    const known = this.#latest.get(part);
    if (atMs - (known?.atMs ?? -Infinity) < RECORD_INTERVAL_MS) return false;
    this.#latest.delete(part);
    const clearedAtMs = known?.clearedAtMs ?? -Infinity;
    this.#latest.set(part, { atMs, clearedAtMs });
    if (this.#latest.size > MAX_PARTS) this.#removeOldest();
    return true;
  }

  /** Whether a completion shows that a part did not cause a crash at that time. */
  isCleared(part: PartKey, crashedMs: number): boolean {
    const latest = this.#latest.get(part);
    return latest !== undefined && crashedMs <= latest.atMs + CLEARED_AFTER_MS;
  }

  /** Records that a part was cleared of a crash, of which other VMs may still suspect it. */
  markCleared(part: PartKey, nowMs: number): void {
    const latest = this.#latest.get(part);
    if (latest !== undefined) latest.clearedAtMs = nowMs;
  }

  /** Completions by which this VM has cleared parts since `sinceMs`. */
  since(sinceMs: number): PartCompletion[] {
    return [...this.#latest]
      .filter(([, { clearedAtMs }]) =>
        Number.isFinite(clearedAtMs) && clearedAtMs >= sinceMs
      )
      .map(([part, { atMs }]) => ({ part, atMs }));
  }

  /** Removes parts past their retention. */
  removeExpired(nowMs: number): void {
    for (const [part, { atMs }] of this.#latest) {
      if (nowMs - atMs > RETENTION_MS) this.#latest.delete(part);
    }
  }

  #removeOldest(): void {
    for (const part of this.#latest.keys()) {
      this.#latest.delete(part);
      return;
    }
  }
}
