/**
 * Folds what happens many times at once into one log line. Lines come up to a quarter of a
 * second late; a process that ends meanwhile does not write the last ones.
 */

/** Time for which news is gathered before it is logged, in milliseconds: hardly a delay. */
const GATHER_MS = 250;
/** Pieces of news that get a line each; more get one together. */
const MOST_LINES = 3;

/** How one piece of news is logged, and how many are. */
export interface BurstLogOptions<T> {
  readonly logOne: (item: T) => void;
  readonly logMany: (items: readonly T[]) => void;
}

/** Gathers news for a moment: when a fleet restarts at once, each VM hears of all others. */
export class BurstLog<T> {
  readonly #options: BurstLogOptions<T>;
  #items: T[] = [];
  #timer: NodeJS.Timeout | undefined;

  constructor(options: BurstLogOptions<T>) {
    this.#options = options;
  }

  /** Takes in news; it is logged a moment later. */
  add(items: readonly T[]): void {
    if (items.length === 0) return;
    this.#items.push(...items);
    this.#timer ??= setTimeout(() => this.flush(), GATHER_MS).unref();
  }

  /** Logs at once what has been gathered. */
  flush(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    const items = this.#items;
    this.#items = [];
    if (items.length > MOST_LINES) this.#options.logMany(items);
    else for (const item of items) this.#options.logOne(item);
  }
}
