/** Makes sure, when nobody has lately, that no later configuration is in force. */

import type { ConfigurationStore } from "../core/config/configuration_store.ts";
import { FRESH_FOR_MS, type Freshness } from "../core/config/freshness.ts";
import type { MemberTable } from "../core/membership/member_table.ts";
import type { ProbeOrder } from "../core/membership/probe_order.ts";
import type { Prober } from "../peers/prober.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";
import { RepeatedTask } from "../runtime/repeated_task.ts";
import type { ConfigurationFollower } from "./configuration_follower.ts";

const CHECK_INTERVAL_MS = 500;
/** Age above which nobody else can be counted on to confirm. */
const ASK_AT_AGE_MS = 0.7 * FRESH_FOR_MS;
/** Other entry VMs asked at once while the platform is away. */
const PEERS_ASKED = 3;

interface Deps {
  readonly configurationStore: ConfigurationStore;
  readonly configurationFollower: ConfigurationFollower;
  readonly freshness: Freshness;
  readonly memberTable: MemberTable;
  readonly probeOrder: ProbeOrder;
  readonly prober: Prober;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Asks the platform, then a majority of the entry VMs. */
export class FreshnessKeeper {
  readonly #deps: Deps;
  readonly #task = new RepeatedTask({
    intervalMs: CHECK_INTERVAL_MS,
    run: () => this.#check(),
  });
  #wasFresh = true;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Starts to look. */
  start(): void {
    this.#task.start();
  }

  /** Stops to look. */
  stop(): void {
    this.#task.stop();
  }

  async #check(): Promise<void> {
    const { freshness, clock } = this.#deps;
    const nowMs = clock.monotonicMs();
    if (
      freshness.ageMs(nowMs) > ASK_AT_AGE_MS && !await this.#askPlatform()
    ) {
      await this.#askMajority();
    }
    this.#note(freshness.isFresh(clock.monotonicMs()));
  }

  /** Returns whether the platform answered. */
  async #askPlatform(): Promise<boolean> {
    const { configurationFollower, freshness, clock } = this.#deps;
    const startedMs = clock.monotonicMs();
    const answered = await configurationFollower.ask("confirm", 0);
    if (!answered) freshness.notePlatformAway(startedMs);
    return answered;
  }

  async #askMajority(): Promise<void> {
    const { memberTable, probeOrder, prober } = this.#deps;
    if (!memberTable.seesMajority()) return;
    const members = probeOrder.some(memberTable.others(), {
      count: PEERS_ASKED,
      except: memberTable.self.id,
    });
    if (members.length === 0) return this.#confirmAlone();
    await Promise.all(members.map((member) => prober.confirmBy(member)));
  }

  /** A fleet of one has nobody to disagree with. */
  #confirmAlone(): void {
    const { freshness, clock } = this.#deps;
    freshness.confirmByMajority(clock.monotonicMs());
  }

  #note(fresh: boolean): void {
    if (fresh === this.#wasFresh) return;
    this.#wasFresh = fresh;
    const { configurationStore, logger } = this.#deps;
    const { revision } = configurationStore;
    if (fresh) logger.info("Entry serves again", { revision });
    else logger.warn("Entry is isolated and refuses requests", { revision });
  }
}
