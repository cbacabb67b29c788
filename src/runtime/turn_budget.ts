/** Limits the parsing work in one turn of the event loop, so that a crowd does not block the others. */

/** Lines that are parsed in one turn, over all connections. */
const LINES_PER_TURN = 8_192;

/** Shares the work of each turn between connections, in the order in which they ask for it. */
export class TurnBudget {
  #left = LINES_PER_TURN;
  #isScheduled = false;
  #deferred = new Set<() => void>();

  /** Takes work out of the budget of this turn; returns false if it is used up. */
  take(lines: number): boolean {
    if (this.#left <= 0) return false;
    this.#left -= lines;
    this.#schedule();
    return true;
  }

  /** Runs a task in the next turn, or a later one if others use up the budget before. */
  defer(task: () => void): void {
    this.#deferred.add(task);
    this.#schedule();
  }

  #schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    setImmediate(() => this.#beginTurn());
  }

  #beginTurn(): void {
    this.#isScheduled = false;
    this.#left = LINES_PER_TURN;
    const tasks = this.#deferred;
    this.#deferred = new Set();
    for (const task of tasks) {
      if (this.#left <= 0) break;
      tasks.delete(task);
      task();
    }
    if (tasks.size === 0) return;
    // Those that had no turn come before those that have asked again.
    for (const task of this.#deferred) tasks.add(task);
    this.#deferred = tasks;
    this.#schedule();
  }
}
