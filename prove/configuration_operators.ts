/** Operators who apply configurations at the same time, and settle what they do not know. */

import { Applier, type ApplyOutcome } from "../src/configuration/applier.ts";
import type { Configuration } from "../src/core/config/configuration.ts";
import { HttpPlatform } from "../src/platform/http_platform.ts";
import { SystemClock } from "../src/runtime/clock.ts";
import { Deadline } from "../src/runtime/deadline.ts";
import { pause } from "../src/runtime/pause.ts";
import { hashKey } from "../tests/fixtures/test_fleet.ts";
import { contentOf } from "./configuration_checker.ts";
import type { ConfigurationHistory } from "./configuration_history.ts";
import type { CuttableFleet } from "./cuttable_fleet.ts";

const APPLY_EVERY_MS = 600;
const APPLY_LIMIT_MS = 1_500;
const PLATFORM_TIMEOUT_MS = 1_000;

interface Deps {
  readonly fleet: CuttableFleet;
  readonly history: ConfigurationHistory;
  /** API key of the one client account. */
  readonly key: string;
}

/** Applies numbered contents, and records those that were accepted. */
export class ConfigurationOperators {
  readonly #deps: Deps;
  #racing = true;
  #content = 0;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Starts the fleet with the first content. */
  async startFleet(): Promise<void> {
    const { fleet } = this.#deps;
    const invokedMs = Date.now();
    await fleet.start(
      this.#configurationOf(0) as unknown as Record<string, unknown>,
    );
    this.#record(0, { revision: 1, invokedMs });
  }

  /** Lets so many operators apply again and again, until they are stopped. */
  async race(operators: number): Promise<void> {
    await Promise.all(
      Array.from({ length: operators }, () => this.#applyInTurn()),
    );
  }

  /** Lets operators end what they are at, and apply no more. */
  stopRacing(): void {
    this.#racing = false;
  }

  /** Applies the next content. An unknown outcome is settled by the same id. */
  async apply(label: string): Promise<void> {
    this.#content += 1;
    const content = this.#content;
    const invokedMs = Date.now();
    let outcome: ApplyOutcome;
    let wasUnknown = false;
    do {
      outcome = await this.#tryApply(content, `${label}-${content}`);
      wasUnknown ||= outcome.tag === "unknown";
      // Once an outcome is unknown, an unavailable platform settles nothing.
    } while (
      outcome.tag === "unknown" || (wasUnknown && outcome.tag === "unavailable")
    );
    if (outcome.tag === "accepted") {
      this.#record(content, { revision: outcome.revision, invokedMs });
    }
  }

  async #applyInTurn(): Promise<void> {
    while (this.#racing) {
      await this.apply("race");
      await pause(APPLY_EVERY_MS);
    }
  }

  async #tryApply(content: number, applyId: string): Promise<ApplyOutcome> {
    const { fleet } = this.#deps;
    const platform = new HttpPlatform({
      url: fleet.platformUrl,
      timeoutMs: PLATFORM_TIMEOUT_MS,
    });
    const deadline = new Deadline(APPLY_LIMIT_MS);
    const configuration = fleet.withBackends(this.#configurationOf(content));
    try {
      const applier = new Applier({ platform, clock: new SystemClock() });
      return await applier.apply({ configuration, applyId, deadline });
    } finally {
      deadline.close();
      await platform.close();
    }
  }

  #record(
    content: number,
    { revision, invokedMs }: { revision: number; invokedMs: number },
  ): void {
    this.#deps.history.record({
      kind: "applied",
      content,
      revision,
      invokedMs,
      atMs: Date.now(),
    });
  }

  #configurationOf(content: number): Configuration {
    const { version, guardedAllowed } = contentOf(content);
    const stateOf = (id: string) => id === version ? "serving" : "withdrawn";
    const versions = ["v1", "v2"].map((id) => ({
      id,
      state: stateOf(id),
      cost_per_1k_tokens: 1,
    }));
    const always = { id: "v1", state: "serving", cost_per_1k_tokens: 1 };
    const cfg = {
      accounts: [{
        id: "a",
        keys: [hashKey(this.#deps.key)],
        models: guardedAllowed ? ["m", "both", "guarded"] : ["m", "both"],
        services: [],
        priority: "standard",
        // Makes each content another one.
        max_in_flight: 1_000 + content,
      }],
      models: [
        { id: "m", stable: version, versions },
        { id: "guarded", stable: "v1", versions: [always] },
        { id: "small", stable: "v1", versions: [always] },
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
