/** Platform outages that begin right after a configuration has been written. */

import { pause } from "../src/runtime/pause.ts";
import type { CallTally } from "./call_tally.ts";
import type { PartitionableFleet } from "./partitionable_fleet.ts";

/** Longest wait for an apply before the outage begins; an apply usually takes milliseconds. */
const MAX_APPLY_WAIT_MS = 1_000;
/** Durations shorter and much longer than a confirmation and the guaranteed propagation time. */
const OUTAGES_MS = [4_000, 14_000, 30_000];
/** Longest time between the fault that hides a revision from the entries and its apply. */
const MAX_GAP_MS = 1_500;
/** Time without platform faults after each outage. */
const RECOVERY_MS = 3_000;

/** Fault that keeps the entries from receiving the revision. */
type HidingFault =
  | "entries cut off"
  | "watches stuck"
  | "immediate outage";

/** One outage scenario. */
interface OutageScenario {
  readonly fault: HidingFault;
  /** Zero where operators can reach the platform all the time. */
  readonly outageMs: number;
  readonly gapMs: number;
}

interface Deps {
  readonly fleet: PartitionableFleet;
  readonly callTally: CallTally;
  /** Applies a configuration until its outcome is known. */
  readonly apply: (label: string) => Promise<void>;
  readonly random: () => number;
}

/** Runs each kind of hiding fault once, with one of the outage durations, in random order. */
export class PlatformOutages {
  readonly #deps: Deps;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Runs all outages, then disconnects all entries while operators keep access. */
  async run(): Promise<void> {
    for (const scenario of this.#plan()) await this.#runScenario(scenario);
    await this.#disconnectAllEntries();
  }

  #plan(): OutageScenario[] {
    const { random } = this.#deps;
    const hidingFaults: HidingFault[] = [
      "entries cut off",
      "watches stuck",
      "immediate outage",
    ];
    // Pairs each hiding fault with a duration that depends on the seed.
    const offset = Math.floor(random() * OUTAGES_MS.length);
    return hidingFaults
      .map((fault, index) => ({
        fault,
        outageMs: OUTAGES_MS[(index + offset) % OUTAGES_MS.length] as number,
        gapMs: random() * MAX_GAP_MS,
        rank: random(),
      }))
      .sort((a, b) => a.rank - b.rank);
  }

  async #runScenario(
    { fault, outageMs, gapMs }: OutageScenario,
  ): Promise<void> {
    const { fleet, callTally, apply } = this.#deps;
    callTally.startPhase(
      `${fault}, then platform unreachable for ${outageMs} ms`,
    );
    if (fault === "entries cut off") fleet.disconnectAllFromPlatform();
    if (fault === "watches stuck") {
      await fleet.setPlatformFaults({ watches_stuck: true });
    }
    await pause(gapMs);
    const applied = apply("hidden");
    await Promise.race([applied, pause(MAX_APPLY_WAIT_MS)]);
    await fleet.setPlatformFaults({ down: true });
    fleet.restoreConnections();
    await pause(outageMs);
    await this.#recover();
    await applied;
  }

  /** Operators keep applying while no entry can reach the platform. */
  async #disconnectAllEntries(): Promise<void> {
    const { fleet, callTally } = this.#deps;
    callTally.startPhase(
      "all entries disconnected from the platform for 14000 ms",
    );
    fleet.disconnectAllFromPlatform();
    await pause(14_000);
    fleet.restoreConnections();
    await this.#recover();
  }

  async #recover(): Promise<void> {
    const { fleet, callTally } = this.#deps;
    await fleet.setPlatformFaults({});
    callTally.startPhase("other faults");
    await pause(RECOVERY_MS);
  }
}
