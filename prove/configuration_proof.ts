/**
 * Proves that an accepted configuration takes effect on every entry within seconds, atomically,
 * and is never reverted.
 */

import { pause } from "../src/runtime/pause.ts";
import { type Answer, Caller } from "../tests/fixtures/caller.ts";
import { seededChance } from "../tests/fixtures/seeded_chance.ts";
import { getJson } from "../tests/fixtures/test_fleet.ts";
import { PlatformOutages } from "./platform_outages.ts";
import { CallTally } from "./call_tally.ts";
import { checkConfigurationHistory } from "./configuration_checker.ts";
import { ConfigurationHistory } from "./configuration_history.ts";
import { ConfigurationOperators } from "./configuration_operators.ts";
import { PartitionableFleet } from "./partitionable_fleet.ts";
import { propagationFigures } from "./propagation_figures.ts";
import type { Proof, ProofResult } from "./proof.ts";

const KEY = "key-of-the-proof";
const OPERATORS = 2;
const CALL_INTERVAL_MS = 25;
/**
 * Number of entries that the injected faults address by name. Runs with fewer entries include
 * only the platform outages.
 */
const NAMED_ENTRIES = 5;
const RATE_WINDOW_MS = 3_000;
/** Longer than any confirmation and longer than the guaranteed propagation time. */
const FREEZE_MS = 11_000;
/** Requests sent to the frozen entry just before it resumes. */
const LATE_CALLS = 10;

/** Options of a run. */
export interface ConfigurationProofOptions {
  /** Seed for the order and the timing of the platform outages. */
  readonly seed: number;
  /** File to which all events are written, one JSON object per line. */
  readonly historyFile?: string | undefined;
  readonly entries: number;
}

/** Runs operators, callers and faults against a fleet of processes. */
export class ConfigurationProof implements Proof {
  readonly name = "configuration";
  readonly guarantee =
    "An accepted configuration is in effect on every entry within seconds and is never reverted";
  readonly faults = [
    "concurrent operators",
    "lost responses",
    "platform unreachable and slow",
    "entry restart during a platform outage",
    "stuck watches",
    "entries disconnected from platform, peers, both",
    "entry frozen and resumed",
    "platform outage right after an apply",
    "all entries disconnected from the platform",
  ];
  readonly #options: ConfigurationProofOptions;
  readonly #history = new ConfigurationHistory();
  readonly #entries: readonly string[];
  readonly #fleet: PartitionableFleet;
  readonly #operators: ConfigurationOperators;
  readonly #callTally = new CallTally();
  #calling = true;
  #idleCallRate = 0;
  #applyCallRate = 0;

  constructor(options: ConfigurationProofOptions) {
    this.#options = options;
    this.#entries = Array.from(
      { length: options.entries },
      (_, index) => `e${index + 1}`,
    );
    this.#fleet = new PartitionableFleet(this.#entries);
    this.#operators = new ConfigurationOperators({
      fleet: this.#fleet,
      history: this.#history,
      key: KEY,
    });
  }

  async run(): Promise<ProofResult> {
    try {
      await this.#operators.startFleet();
      this.#idleCallRate = await this.#measurePlatformCallRate();
      const operators = this.#operators.applyConcurrently(OPERATORS);
      const callers = this.#entries.map((entry) => this.#callRepeatedly(entry));
      const hasNamedEntries = this.#entries.length >= NAMED_ENTRIES;
      if (hasNamedEntries) await this.#injectFaults();
      await this.#injectPlatformOutages();
      this.#operators.stopApplying();
      await operators;
      if (hasNamedEntries) await this.#freezeEntry();
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
        ...propagationFigures(this.#history),
        ...this.#callTally.figures(),
        "platform calls per second, idle": this.#idleCallRate.toFixed(1),
        "platform calls per second, during applies": this.#applyCallRate
          .toFixed(1),
      },
    };
  }

  async #measurePlatformCallRate(): Promise<number> {
    const before = await this.#fleet.platformCalls();
    await pause(RATE_WINDOW_MS);
    return (await this.#fleet.platformCalls() - before) * 1_000 /
      RATE_WINDOW_MS;
  }

  async #injectFaults(): Promise<void> {
    const fleet = this.#fleet;
    this.#applyCallRate = await this.#measurePlatformCallRate();
    for (let round = 0; round < 3; round++) {
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
    fleet.disconnectFromPlatform("e3");
    fleet.disconnectFromPeers("e3");
    fleet.disconnectFromPlatform("e4");
    fleet.disconnectFromPeers("e5");
    await pause(14_000);
    fleet.restoreConnections();
    await pause(3_000);
  }

  async #injectPlatformOutages(): Promise<void> {
    const outages = new PlatformOutages({
      fleet: this.#fleet,
      callTally: this.#callTally,
      apply: (label) => this.#operators.apply(label),
      random: seededChance(this.#options.seed),
    });
    await outages.run();
  }

  /**
   * Freezes an entry during the last apply. No later variant follows, so each outdated response
   * of the resumed entry is recorded as a violation.
   */
  async #freezeEntry(): Promise<void> {
    this.#fleet.signal("e1", "SIGSTOP");
    await this.#operators.apply("last");
    await pause(FREEZE_MS);
    const lateCalls = Array.from(
      { length: LATE_CALLS },
      () => this.#callOnce("e1"),
    );
    await pause(500);
    this.#fleet.signal("e1", "SIGCONT");
    await Promise.all(lateCalls);
    await pause(2_000);
  }

  async #callRepeatedly(entry: string): Promise<void> {
    while (this.#calling) {
      await this.#callOnce(entry);
      // Keeps the total load of all callers the same as with NAMED_ENTRIES entries.
      const loadFactor = this.#entries.length / NAMED_ENTRIES;
      await pause(CALL_INTERVAL_MS * Math.max(1, loadFactor));
    }
  }

  async #callOnce(entry: string): Promise<void> {
    const caller = new Caller(this.#fleet.callersOf(entry), KEY);
    const invokedMs = Date.now();
    try {
      const response = await caller.chat("m");
      this.#callTally.recordStatus(response.status);
      this.#recordResponse(response, { entry, invokedMs });
      const cascadeInvokedMs = Date.now();
      this.#recordResponse(await caller.chat("both"), {
        entry,
        invokedMs: cascadeInvokedMs,
      });
      const guardedInvokedMs = Date.now();
      const guarded = await caller.chat("guarded");
      if (guarded.status !== 200 && guarded.status !== 403) return;
      this.#history.record({
        kind: "guarded",
        entry,
        invokedMs: guardedInvokedMs,
        returnedMs: Date.now(),
        allowed: guarded.status === 200,
      });
    } catch {
      // The entry is being restarted; the next call follows after the interval.
    }
  }

  /** Skips responses of the model `small`: their cascade could not escalate. */
  #recordResponse(
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
