/** Detects that the platform's store was restored from a backup copy. */

import { type ObjectStore, UNREPORTED_ERA } from "../platform/object_store.ts";
import type { Logger } from "../runtime/logger.ts";

interface Deps {
  readonly objectStore: ObjectStore;
  readonly logger: Logger;
}

/** Tracks the era of the store, which rises with each restore. */
export class StoreEraMonitor {
  readonly #logger: Logger;
  readonly #listeners: (() => void)[] = [];
  #era = UNREPORTED_ERA;
  #restores = 0;

  constructor({ objectStore, logger }: Deps) {
    this.#logger = logger;
    objectStore.onAnswer(({ era }) => {
      if (era !== undefined) this.record(era, "store");
    });
  }

  /** Latest known era. */
  get era(): number {
    return this.#era;
  }

  /** Number of restores that this VM has noticed. */
  get restores(): number {
    return this.#restores;
  }

  /** Registers a listener for restores, called before anything of the new era is applied. */
  onRestored(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /** Records an era that the store or another VM has named. */
  record(era: number, source: "store" | "vm"): void {
    if (era <= this.#era) return;
    const before = this.#era;
    this.#era = era;
    // The first era that is seen tells nothing about a restore.
    if (before === UNREPORTED_ERA) return;
    this.#restores += 1;
    this.#logger.warn("Store was restored from a copy", {
      era,
      before,
      told_by: source,
    });
    for (const listener of this.#listeners) listener();
  }
}
