/** Versioned objects of the platform stand-in, with conditional writes and watches. */

import { fail, ok, type Result } from "../core/result.ts";
import type { PlatformObject } from "../protocol/platform_schema.ts";

type ChangeListener = (object: PlatformObject) => void;

/** An in-memory store of versioned objects. */
export class PlatformObjects {
  readonly #objects = new Map<string, PlatformObject>();
  readonly #listeners = new Map<string, Set<ChangeListener>>();

  get(key: string): PlatformObject | undefined {
    return this.#objects.get(key);
  }

  /** Returns the keys that start with `prefix`, sorted. */
  list(prefix: string): string[] {
    return [...this.#objects.keys()].filter((key) => key.startsWith(prefix))
      .sort();
  }

  /**
   * Writes if the current version is the expected one; otherwise fails with the current
   * version.
   */
  put(
    key: string,
    { value, expectedVersion }: { value: string; expectedVersion: number },
  ): Result<number, number> {
    const current = this.#objects.get(key)?.version ?? 0;
    if (current !== expectedVersion) return fail(current);
    const object = { key, version: current + 1, value };
    this.#objects.set(key, object);
    for (const listener of this.#listeners.get(key) ?? []) listener(object);
    return ok(object.version);
  }

  /**
   * Calls `onChange` for each version above `afterVersion`; returns a function that stops the
   * watch.
   */
  watch(
    key: string,
    { afterVersion, onChange }: {
      afterVersion: number;
      onChange: ChangeListener;
    },
  ): () => void {
    const listeners = this.#listeners.get(key) ?? new Set();
    this.#listeners.set(key, listeners);
    const listener: ChangeListener = (object) => {
      if (object.version > afterVersion) onChange(object);
    };
    listeners.add(listener);
    return () => listeners.delete(listener);
  }
}
