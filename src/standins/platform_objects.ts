/** Objects of the platform stand-in: versions, conditions and watches. */

import { fail, ok, type Result } from "../core/result.ts";
import type { PlatformObject } from "../protocol/platform_schema.ts";

type Waiter = (object: PlatformObject) => void;

/** An in-memory store of versioned objects. */
export class PlatformObjects {
  readonly #objects = new Map<string, PlatformObject>();
  readonly #waiters = new Map<string, Set<Waiter>>();

  /** Returns an object. */
  get(key: string): PlatformObject | undefined {
    return this.#objects.get(key);
  }

  /** Keys with a prefix, in order. */
  list(prefix: string): string[] {
    return [...this.#objects.keys()].filter((key) => key.startsWith(prefix))
      .sort();
  }

  /** Writes if the version is as expected; the error is the current version. */
  put(
    key: string,
    { value, expectedVersion }: { value: string; expectedVersion: number },
  ): Result<number, number> {
    const current = this.#objects.get(key)?.version ?? 0;
    if (current !== expectedVersion) return fail(current);
    const object = { key, version: current + 1, value };
    this.#objects.set(key, object);
    for (const waiter of this.#waiters.get(key) ?? []) waiter(object);
    return ok(object.version);
  }

  /** Waits for a version above `afterVersion`; returns how to give up waiting. */
  wait(
    key: string,
    { afterVersion, onChange }: { afterVersion: number; onChange: Waiter },
  ): () => void {
    const waiters = this.#waiters.get(key) ?? new Set();
    this.#waiters.set(key, waiters);
    const waiter: Waiter = (object) => {
      if (object.version > afterVersion) onChange(object);
    };
    waiters.add(waiter);
    return () => waiters.delete(waiter);
  }
}
