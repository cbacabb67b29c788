/** Simulated operators that apply configurations concurrently and resolve unknown outcomes. */

import { Applier, type ApplyOutcome } from "../src/configuration/applier.ts";
import type { Configuration } from "../src/core/config/configuration.ts";
import { HttpPlatform } from "../src/platform/http_platform.ts";
import { SystemClock } from "../src/runtime/clock.ts";
import { Deadline } from "../src/runtime/deadline.ts";
import { pause } from "../src/runtime/pause.ts";
import { hashKey } from "../tests/fixtures/test_fleet.ts";
import { variantOf } from "./configuration_checker.ts";
import type { ConfigurationHistory } from "./configuration_history.ts";
import type { PartitionableFleet } from "./partitionable_fleet.ts";

const APPLY_INTERVAL_MS = 600;
const APPLY_TIMEOUT_MS = 1_500;
const PLATFORM_TIMEOUT_MS = 1_000;

interface Deps {
  readonly fleet: PartitionableFleet;
  readonly history: ConfigurationHistory;
  /** API key of the only client account. */
  readonly key: string;
}

/** Applies numbered configuration variants and records the accepted ones. */
export class ConfigurationOperators {
  readonly #deps: Deps;
  #applying = true;
  #lastVariant = 0;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Starts the fleet with the first variant. */
  async startFleet(): Promise<void> {
    const { fleet } = this.#deps;
    const invokedMs = Date.now();
    await fleet.start(
      this.#configurationOf(0) as unknown as Record<string, unknown>,
    );
    this.#record(0, { revision: 1, invokedMs });
  }

  /** Runs the given number of operators, which apply variants until `stopApplying`. */
  async applyConcurrently(operators: number): Promise<void> {
    await Promise.all(
      Array.from({ length: operators }, () => this.#applyRepeatedly()),
    );
  }

  /** Stops the operators after the applies that are in progress. */
  stopApplying(): void {
    this.#applying = false;
  }

  /** Applies the next variant. Retries under the same id while the outcome is unknown. */
  async apply(label: string): Promise<void> {
    this.#lastVariant += 1;
    const variantNumber = this.#lastVariant;
    const invokedMs = Date.now();
    let outcome: ApplyOutcome;
    let wasUnknown = false;
    do {
      outcome = await this.#tryApply(
        variantNumber,
        `${label}-${variantNumber}`,
      );
      wasUnknown ||= outcome.tag === "unknown";
      // After an unknown outcome, "unavailable" does not show whether the first try was accepted.
    } while (
      outcome.tag === "unknown" || (wasUnknown && outcome.tag === "unavailable")
    );
    if (outcome.tag === "accepted") {
      this.#record(variantNumber, { revision: outcome.revision, invokedMs });
    }
  }

  async #applyRepeatedly(): Promise<void> {
    while (this.#applying) {
      await this.apply("race");
      await pause(APPLY_INTERVAL_MS);
    }
  }

  async #tryApply(
    variantNumber: number,
    applyId: string,
  ): Promise<ApplyOutcome> {
    const { fleet } = this.#deps;
    const platform = new HttpPlatform({
      url: fleet.platformUrl,
      timeoutMs: PLATFORM_TIMEOUT_MS,
    });
    const deadline = new Deadline(APPLY_TIMEOUT_MS);
    const configuration = fleet.withBackends(
      this.#configurationOf(variantNumber),
    );
    try {
      const applier = new Applier({ platform, clock: new SystemClock() });
      return await applier.apply({ configuration, applyId, deadline });
    } finally {
      deadline.close();
      await platform.close();
    }
  }

  #record(
    variantNumber: number,
    { revision, invokedMs }: { revision: number; invokedMs: number },
  ): void {
    this.#deps.history.record({
      kind: "applied",
      content: variantNumber,
      revision,
      invokedMs,
      atMs: Date.now(),
    });
  }

  #configurationOf(variantNumber: number): Configuration {
    const { version, guardedAllowed } = variantOf(variantNumber);
    const stateOf = (id: string) => id === version ? "serving" : "withdrawn";
    const versions = ["v1", "v2"].map((id) => ({
      id,
      state: stateOf(id),
      cost_per_1k_tokens: 1,
    }));
    const servingVersion = {
      id: "v1",
      state: "serving",
      cost_per_1k_tokens: 1,
    };
    const cfg = {
      accounts: [{
        id: "a",
        keys: [hashKey(this.#deps.key)],
        models: guardedAllowed ? ["m", "both", "guarded"] : ["m", "both"],
        services: [],
        priority: "standard",
        // Makes each variant unique.
        max_in_flight: 1_000 + variantNumber,
      }],
      models: [
        { id: "m", stable: version, versions },
        { id: "guarded", stable: "v1", versions: [servingVersion] },
        { id: "small", stable: "v1", versions: [servingVersion] },
      ],
      cascades: [{
        id: "both",
        steps: ["small", "m"],
        escalate_below: -0.7,
        judge_tokens: 4,
      }],
      roll_outs: [],
      services: [],
      backends: [],
    };
    return cfg as unknown as Configuration;
  }
}
