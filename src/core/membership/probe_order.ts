/** Selects the entry VMs to probe. */

import type { EntryId } from "../ids.ts";
import type { RandomSource } from "../routing/server_chooser.ts";
import type { Member } from "./member.ts";

/** Iterates over all entry VMs in random order and reshuffles after each pass. */
export class ProbeOrder {
  readonly #random: RandomSource;
  #queue: EntryId[] = [];

  constructor(random: RandomSource) {
    this.#random = random;
  }

  /** Returns the next entry VM to probe, or undefined if there is none. */
  next(members: readonly Member[]): Member | undefined {
    const byId = new Map(members.map((member) => [member.id, member]));
    for (;;) {
      if (this.#queue.length === 0) {
        this.#queue = this.#shuffle([...byId.keys()]);
      }
      const id = this.#queue.pop();
      if (id === undefined) return undefined;
      const member = byId.get(id);
      if (member !== undefined) return member;
    }
  }

  /** Returns up to `count` random entry VMs, excluding `except`. */
  sample(
    members: readonly Member[],
    { count, except }: { count: number; except: EntryId },
  ): Member[] {
    const others = members.filter((member) => member.id !== except);
    return this.#shuffle(others).slice(0, count);
  }

  #shuffle<T>(items: T[]): T[] {
    for (let at = items.length - 1; at > 0; at--) {
      const other = Math.floor(this.#random() * (at + 1));
      [items[at], items[other]] = [items[other] as T, items[at] as T];
    }
    return items;
  }
}
