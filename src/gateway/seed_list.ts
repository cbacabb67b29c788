/** Seed addresses of VMs from the current settings. */

/** Holds the seed addresses until the settings are reloaded. */
export class SeedList {
  #seeds: readonly string[];

  constructor(seeds: readonly string[]) {
    this.#seeds = seeds;
  }

  /** Peer addresses; some may be stale. */
  get seeds(): readonly string[] {
    return this.#seeds;
  }

  /** Replaces the addresses after a change of the settings. */
  replace(seeds: readonly string[]): void {
    this.#seeds = seeds;
  }
}
