/** Choice of the backend server that gets a request. */

import type { BackendServer } from "../config/configuration.ts";
import type { BackendId } from "../ids.ts";
import type { ServerPool } from "./server_pool.ts";

/** Source of chance: a number from 0 up to but not including 1. */
export type Chance = () => number;

/** What a choice depends on besides the pool. */
export interface ChoiceInput {
  readonly candidates: readonly BackendServer[];
  /** Servers that this request has tried already. */
  readonly tried: ReadonlySet<BackendId>;
  readonly nowMs: number;
}

/** A policy that picks one server out of several. */
export interface ServerChooser {
  /** Returns a server, or undefined when none may get the request. */
  choose(input: ChoiceInput): BackendServer | undefined;
}

/** Looks at two servers drawn by chance and takes the less loaded one. */
export class TwoChoicesChooser implements ServerChooser {
  readonly #pool: ServerPool;
  readonly #chance: Chance;

  constructor(pool: ServerPool, chance: Chance) {
    this.#pool = pool;
    this.#chance = chance;
  }

  choose({ candidates, tried, nowMs }: ChoiceInput): BackendServer | undefined {
    const usable = candidates.filter((server) =>
      !tried.has(server.id) && this.#pool.isAvailable(server.id, nowMs)
    );
    const [first, second] = this.#drawTwo(usable);
    if (first === undefined || second === undefined) return first;
    return this.#relativeLoad(first) <= this.#relativeLoad(second)
      ? first
      : second;
  }

  #drawTwo(servers: readonly BackendServer[]): (BackendServer | undefined)[] {
    if (servers.length < 2) return [servers[0]];
    const at = Math.floor(this.#chance() * servers.length);
    const step = 1 + Math.floor(this.#chance() * (servers.length - 1));
    return [servers[at], servers[(at + step) % servers.length]];
  }

  #relativeLoad(server: BackendServer): number {
    return this.#pool.expectedLoad(server.id) / server.slots;
  }
}
