/** Addresses of VMs that may be there, from the settings as they stand now. */

/** Replaced when the settings change. */
export class SeedList {
  #seeds: readonly string[];

  constructor(seeds: readonly string[]) {
    this.#seeds = seeds;
  }

  /** Peer addresses; they may be stale. */
  get seeds(): readonly string[] {
    return this.#seeds;
  }

  /** Takes in changed settings. */
  replace(seeds: readonly string[]): void {
    this.#seeds = seeds;
  }
}
