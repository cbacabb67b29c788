/**
 * Combines events that occur in a burst into one log line. Lines are written up to 250 ms late, so
 * the last ones are lost if the process exits in the meantime.
 */

/** Time for which events are collected before they are logged. */
const COLLECT_MS = 250;
/** Up to this many events are logged individually; more are combined into one line. */
const MAX_INDIVIDUAL_LINES = 3;

/** How a single event and a burst of events are logged. */
export interface BurstLogOptions<T> {
  readonly logOne: (item: T) => void;
  readonly logMany: (items: readonly T[]) => void;
}

/**
 * Limits the log lines of a burst, such as when all VMs of a fleet restart together and each VM
 * logs the change of every other.
 */
export class BurstLog<T> {
  readonly #options: BurstLogOptions<T>;
  #items: T[] = [];
  #timer: NodeJS.Timeout | undefined;

  constructor(options: BurstLogOptions<T>) {
    this.#options = options;
  }

  /** Adds events, which are logged after a short delay. */
  add(items: readonly T[]): void {
    if (items.length === 0) return;
    this.#items.push(...items);
    this.#timer ??= setTimeout(() => this.flush(), COLLECT_MS).unref();
  }

  /** Logs the collected events immediately. */
  flush(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    const items = this.#items;
    this.#items = [];
    if (items.length > MAX_INDIVIDUAL_LINES) this.#options.logMany(items);
    else for (const item of items) this.#options.logOne(item);
  }
}
