/** Accepted configurations are in force everywhere within seconds, as a whole, for good. */

import { pause } from "../src/runtime/pause.ts";
import { type Answer, Caller } from "../tests/fixtures/caller.ts";
import { seededChance } from "../tests/fixtures/seeded_chance.ts";
import { getJson } from "../tests/fixtures/test_fleet.ts";
import { AcceptanceLosses } from "./acceptance_losses.ts";
import { CallTally } from "./call_tally.ts";
import { checkConfigurationHistory } from "./configuration_checker.ts";
import { ConfigurationHistory } from "./configuration_history.ts";
import { ConfigurationOperators } from "./configuration_operators.ts";
import { CuttableFleet } from "./cuttable_fleet.ts";
import { inForceFigures } from "./in_force_figures.ts";
import type { Proof, ProofResult } from "./proof.ts";

const KEY = "key-of-the-proof";
const OPERATORS = 2;
const CALL_EVERY_MS = 25;
/** Entries that the faults name; fewer only meet losses of the platform. */
const NAMED_ENTRIES = 5;
const RATE_MS = 3_000;
/** Longer than any confirmation, and than the promise itself. */
const FREEZE_MS = 11_000;
/** Requests sent to the frozen entry just before it is woken. */
const LATE_CALLS = 10;

/** What a run is made of. */
export interface ConfigurationProofOptions {
  /** Draws in which order, and when, the platform is lost. */
  readonly seed: number;
  /** Where to write all events, a line each. */
  readonly historyFile?: string | undefined;
  readonly entries: number;
}

/** Runs operators, callers and faults against a fleet of processes. */
export class ConfigurationProof implements Proof {
  readonly name = "configuration";
  readonly promise =
    "An accepted configuration is in force everywhere within seconds and never reverts";
  readonly faults = [
    "racing operators",
    "lost answers",
    "platform away and slow",
    "restart in an outage",
    "watches stuck",
    "cut from platform, peers, both",
    "frozen and woken",
    "platform lost right after an apply",
    "all entries cut from the platform",
  ];
  readonly #options: ConfigurationProofOptions;
  readonly #history = new ConfigurationHistory();
  readonly #entries: readonly string[];
  readonly #fleet: CuttableFleet;
  readonly #operators: ConfigurationOperators;
  readonly #callTally = new CallTally();
  #calling = true;
  #quietCalls = 0;
  #changeCalls = 0;

  constructor(options: ConfigurationProofOptions) {
    this.#options = options;
    this.#entries = Array.from(
      { length: options.entries },
      (_, at) => `e${at + 1}`,
    );
    this.#fleet = new CuttableFleet(this.#entries);
    this.#operators = new ConfigurationOperators({
      fleet: this.#fleet,
      history: this.#history,
      key: KEY,
    });
  }

  async run(): Promise<ProofResult> {
    try {
      await this.#operators.startFleet();
      this.#quietCalls = await this.#platformCallRate();
      const operators = this.#operators.race(OPERATORS);
      const callers = this.#entries.map((entry) => this.#keepCalling(entry));
      const isNamed = this.#entries.length >= NAMED_ENTRIES;
      if (isNamed) await this.#injectFaults();
      await this.#loseAcceptances();
      this.#operators.stopRacing();
      await operators;
      if (isNamed) await this.#freezeOne();
      this.#calling = false;
      await Promise.all(callers);
      await this.#recordWork();
    } finally {
      await this.#fleet.stop();
    }
    const { historyFile } = this.#options;
    if (historyFile !== undefined) this.#history.writeTo(historyFile);
    return {
      operations: this.#history.size,
      violations: checkConfigurationHistory(this.#history),
      figures: {
        entries: String(this.#entries.length),
        seed: String(this.#options.seed),
        ...inForceFigures(this.#history),
        ...this.#callTally.figures(),
        "platform calls a second, quiet": this.#quietCalls.toFixed(1),
        "platform calls a second, in change": this.#changeCalls.toFixed(1),
      },
    };
  }

  async #platformCallRate(): Promise<number> {
    const before = await this.#fleet.platformCalls();
    await pause(RATE_MS);
    return (await this.#fleet.platformCalls() - before) * 1_000 / RATE_MS;
  }

  async #injectFaults(): Promise<void> {
    const fleet = this.#fleet;
    this.#changeCalls = await this.#platformCallRate();
    for (let lost = 0; lost < 3; lost++) {
      await fleet.setPlatformFaults({ lose_write_answers: 2 });
      await pause(700);
    }
    await fleet.setPlatformFaults({ down: true });
    await pause(1_000);
    await fleet.restart("e2");
    await pause(3_000);
    await fleet.setPlatformFaults({ watches_stuck: true });
    await pause(3_000);
    await fleet.setPlatformFaults({ delay_ms: 300 });
    await pause(3_000);
    await fleet.setPlatformFaults({});
    fleet.cutFromPlatform("e3");
    fleet.cutFromPeers("e3");
    fleet.cutFromPlatform("e4");
    fleet.cutFromPeers("e5");
    await pause(14_000);
    fleet.heal();
    await pause(3_000);
  }

  async #loseAcceptances(): Promise<void> {
    const losses = new AcceptanceLosses({
      fleet: this.#fleet,
      callTally: this.#callTally,
      apply: (label) => this.#operators.apply(label),
      chance: seededChance(this.#options.seed),
    });
    await losses.play();
  }

  /** The last content stays, so that whatever the woken entry does wrong shows. */
  async #freezeOne(): Promise<void> {
    this.#fleet.signal("e1", "SIGSTOP");
    await this.#operators.apply("last");
    await pause(FREEZE_MS);
    const late = Array.from({ length: LATE_CALLS }, () => this.#callOnce("e1"));
    await pause(500);
    this.#fleet.signal("e1", "SIGCONT");
    await Promise.all(late);
    await pause(2_000);
  }

  async #keepCalling(entry: string): Promise<void> {
    while (this.#calling) {
      await this.#callOnce(entry);
      // Keeps the load of all callers together as it is with the entries that are named.
      const fleetFactor = this.#entries.length / NAMED_ENTRIES;
      await pause(CALL_EVERY_MS * Math.max(1, fleetFactor));
    }
  }

  async #callOnce(entry: string): Promise<void> {
    const caller = new Caller(this.#fleet.callersOf(entry), KEY);
    const invokedMs = Date.now();
    try {
      const answer = await caller.chat("m");
      this.#callTally.note(answer.status);
      this.#recordAnswer(answer, { entry, invokedMs });
      const cascadeMs = Date.now();
      this.#recordAnswer(await caller.chat("both"), {
        entry,
        invokedMs: cascadeMs,
      });
      const guardedAtMs = Date.now();
      const guarded = await caller.chat("guarded");
      if (guarded.status !== 200 && guarded.status !== 403) return;
      this.#history.record({
        kind: "guarded",
        entry,
        invokedMs: guardedAtMs,
        returnedMs: Date.now(),
        allowed: guarded.status === 200,
      });
    } catch {
      // The entry is being restarted; its callers try again.
    }
  }

  /** An answer by the small model is one that could not be escalated. */
  #recordAnswer(
    { status, headers }: Answer,
    { entry, invokedMs }: { entry: string; invokedMs: number },
  ): void {
    if (status !== 200 || headers["fieldrack-model"] !== "m") return;
    this.#history.record({
      kind: "answered",
      entry,
      invokedMs,
      returnedMs: Date.now(),
      revision: Number(headers["fieldrack-revision"]),
      version: String(headers["fieldrack-version"]),
    });
  }

  async #recordWork(): Promise<void> {
    for (const url of this.#fleet.modelServerUrls()) {
      const { work } = await getJson(`${url}/work`);
      for (
        const { version, at_ms } of work as { version: string; at_ms: number }[]
      ) {
        const [model, name = ""] = version.split("@");
        if (model !== "m") continue;
        this.#history.record({ kind: "work", version: name, atMs: at_ms });
      }
    }
  }
}
