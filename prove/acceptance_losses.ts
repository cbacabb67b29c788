/** Losses of the platform that begin right after a configuration has been written. */

import { pause } from "../src/runtime/pause.ts";
import type { CallTally } from "./call_tally.ts";
import type { CuttableFleet } from "./cuttable_fleet.ts";

/** Longest wait for an apply before the platform is lost; it usually takes milliseconds. */
const APPLY_WAIT_MS = 1_000;
/** Outages shorter, and much longer, than a confirmation and the promise last. */
const OUTAGES_MS = [4_000, 14_000, 30_000];
/** Longest time between the fault that hides a revision and its apply. */
const LONGEST_GAP_MS = 1_500;
/** Time with a sound platform after each loss. */
const RECOVERY_MS = 3_000;

/** How the entries are kept from seeing the revision. */
type Hiding = "entries cut off" | "watches stuck" | "outage at once";

/** One loss. */
interface Loss {
  readonly hiding: Hiding;
  /** Zero where operators reach the platform all the time. */
  readonly outageMs: number;
  readonly gapMs: number;
}

interface Deps {
  readonly fleet: CuttableFleet;
  readonly callTally: CallTally;
  /** Applies a configuration until its outcome is known. */
  readonly apply: (label: string) => Promise<void>;
  readonly chance: () => number;
}

/** Plays each combination of a hiding and an outage once, in an order drawn by chance. */
export class AcceptanceLosses {
  readonly #deps: Deps;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Plays all losses. */
  async play(): Promise<void> {
    for (const loss of this.#plan()) await this.#playOne(loss);
    await this.#operatorsAlone();
  }

  #plan(): Loss[] {
    const { chance } = this.#deps;
    const hidings: Hiding[] = [
      "entries cut off",
      "watches stuck",
      "outage at once",
    ];
    // Each hiding meets another outage with each seed.
    const shift = Math.floor(chance() * OUTAGES_MS.length);
    return hidings
      .map((hiding, at) => ({
        hiding,
        outageMs: OUTAGES_MS[(at + shift) % OUTAGES_MS.length] as number,
        gapMs: chance() * LONGEST_GAP_MS,
        rank: chance(),
      }))
      .sort((a, b) => a.rank - b.rank);
  }

  async #playOne({ hiding, outageMs, gapMs }: Loss): Promise<void> {
    const { fleet, callTally, apply } = this.#deps;
    callTally.begin(`${hiding}, then platform away for ${outageMs} ms`);
    if (hiding === "entries cut off") fleet.cutAllFromPlatform();
    if (hiding === "watches stuck") {
      await fleet.setPlatformFaults({ watches_stuck: true });
    }
    await pause(gapMs);
    const applied = apply("hidden");
    await Promise.race([applied, pause(APPLY_WAIT_MS)]);
    await fleet.setPlatformFaults({ down: true });
    fleet.heal();
    await pause(outageMs);
    await this.#recover();
    await applied;
  }

  /** Operators go on while no entry reaches the platform. */
  async #operatorsAlone(): Promise<void> {
    const { fleet, callTally } = this.#deps;
    callTally.begin("all entries cut from the platform for 14000 ms");
    fleet.cutAllFromPlatform();
    await pause(14_000);
    fleet.heal();
    await this.#recover();
  }

  async #recover(): Promise<void> {
    const { fleet, callTally } = this.#deps;
    await fleet.setPlatformFaults({});
    callTally.begin("other faults");
    await pause(RECOVERY_MS);
  }
}
