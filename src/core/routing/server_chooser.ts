/** Load balancing policy that selects the backend server for a request. */

import type { BackendServer } from "../config/configuration.ts";
import type { BackendId } from "../ids.ts";
import type { ServerPool } from "./server_pool.ts";

/** Returns a random number from 0 up to but not including 1. */
export type RandomSource = () => number;

/** Input of a selection, besides the state of the pool. */
export interface ChoiceInput {
  readonly candidates: readonly BackendServer[];
  /** Servers that this request has already been sent to. */
  readonly tried: ReadonlySet<BackendId>;
  readonly nowMs: number;
}

export interface ServerChooser {
  /** Returns the selected server, or undefined if no candidate may get the request. */
  choose(input: ChoiceInput): BackendServer | undefined;
}

/** Power of two choices: draws two servers at random and takes the less loaded one. */
export class PowerOfTwoChooser implements ServerChooser {
  readonly #pool: ServerPool;
  readonly #random: RandomSource;

  constructor(pool: ServerPool, random: RandomSource) {
    this.#pool = pool;
    this.#random = random;
  }

  choose({ candidates, tried, nowMs }: ChoiceInput): BackendServer | undefined {
    const available = candidates.filter((server) =>
      !tried.has(server.id) && this.#pool.isAvailable(server.id, nowMs)
    );
    const [first, second] = this.#drawTwo(available);
    if (first === undefined || second === undefined) return first;
    return this.#relativeLoad(first) <= this.#relativeLoad(second)
      ? first
      : second;
  }

  #drawTwo(servers: readonly BackendServer[]): (BackendServer | undefined)[] {
    if (servers.length < 2) return [servers[0]];
    const index = Math.floor(this.#random() * servers.length);
    const step = 1 + Math.floor(this.#random() * (servers.length - 1));
    return [servers[index], servers[(index + step) % servers.length]];
  }

  #relativeLoad(server: BackendServer): number {
    return this.#pool.expectedLoad(server.id) / server.slots;
  }
}
