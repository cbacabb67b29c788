/** Whether the platform's store answers this entry VM, and since when. */

import type { StoreHealth } from "../core/servers/server_directory.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";

/** Called when the store answers again after it did not. */
export type BackListener = () => void;

/** Keeps what the last calls of the store have shown. */
export class StoreHealthKeeper {
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #listeners: BackListener[] = [];
  #onLost: () => void = () => {};
  #reachable = true;
  #lostHere = false;
  #lostAtMs = 0;
  #backSinceMs: number | undefined;

  constructor({ clock, logger }: { clock: Clock; logger: Logger }) {
    this.#clock = clock;
    this.#logger = logger;
  }

  /** What explains entries that are missing from the store's lists. */
  get health(): StoreHealth {
    return { reachable: this.#reachable, recoveredAtMs: this.#backSinceMs };
  }

  /** Registers a listener for the store's return. */
  onBack(listener: BackListener): void {
    this.#listeners.push(listener);
  }

  /** Sets what is called when the store answers no more. */
  onLost(listener: () => void): void {
    this.#onLost = listener;
  }

  /**
   * Whether the last own call was not answered. Others may be answered all the same, and
   * may tell what the store holds.
   */
  get lostHere(): boolean {
    return this.#lostHere;
  }

  /** Notes that an own call was answered. */
  answered(): void {
    this.#lostHere = false;
    if (!this.#reachable) this.#backSinceMs = this.#clock.monotonicMs();
    this.#isBack();
  }

  #isBack(): void {
    if (this.#reachable) return;
    const nowMs = this.#clock.monotonicMs();
    this.#reachable = true;
    this.#logger.info("Store is back", {
      away_ms: Math.round(nowMs - this.#lostAtMs),
    });
    for (const listener of this.#listeners) listener();
  }

  /**
   * Takes in what a VM has told that the store answers; `backAgeMs` is how long ago it
   * came back there, if it was away. A store that was lost here only has not been away: the
   * entries that are missing from its lists have left. A relay that was cut off by itself
   * took each such word for a return of the store, every 1.7 s, and it and its followers
   * kept servers that had left for up to 4.9 s.
   */
  heard(backAgeMs: number | undefined): void {
    this.#isBack();
    if (backAgeMs === undefined) return;
    const recoveredAtMs = this.#clock.monotonicMs() - backAgeMs;
    this.#backSinceMs = Math.max(this.#backSinceMs ?? 0, recoveredAtMs);
  }

  /** Notes that an own call was not answered, or was turned away. */
  failed(reason: string): void {
    this.#lostHere = true;
    if (!this.#reachable) return;
    this.#reachable = false;
    this.#lostAtMs = this.#clock.monotonicMs();
    this.#logger.warn("Store is lost", { reason });
    this.#onLost();
  }
}
