/** Order in which other entry VMs are probed. */

import type { EntryId } from "../ids.ts";
import type { RandomSource } from "../routing/server_chooser.ts";
import type { Member } from "./member.ts";

/** Goes through all entry VMs in an order drawn by chance, then draws a new one. */
export class ProbeOrder {
  readonly #chance: RandomSource;
  #queue: EntryId[] = [];

  constructor(chance: RandomSource) {
    this.#chance = chance;
  }

  /** Returns the entry VM to probe next, if there is any. */
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

  /** Returns up to `count` entry VMs, drawn by chance, without `except`. */
  some(
    members: readonly Member[],
    { count, except }: { count: number; except: EntryId },
  ): Member[] {
    const others = members.filter((member) => member.id !== except);
    return this.#shuffle(others).slice(0, count);
  }

  #shuffle<T>(items: T[]): T[] {
    for (let at = items.length - 1; at > 0; at--) {
      const other = Math.floor(this.#chance() * (at + 1));
      [items[at], items[other]] = [items[other] as T, items[at] as T];
    }
    return items;
  }
}
