/** Confirms the configuration in force where no confirmation came lately. */

import type { ConfigurationStore } from "../core/config/configuration_store.ts";
import {
  type Freshness,
  MAX_CONFIRMATION_AGE_MS,
} from "../core/config/freshness.ts";
import type { WitnessLog } from "../core/config/witness_log.ts";
import type { Member } from "../core/membership/member.ts";
import type { EntryId } from "../core/ids.ts";
import type { MemberTable } from "../core/membership/member_table.ts";
import type { ProbeOrder } from "../core/membership/probe_order.ts";
import type { RelayRole } from "../peers/relay_role.ts";
import type { Prober } from "../peers/prober.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";
import { pause } from "../runtime/pause.ts";
import { RepeatedTask } from "../runtime/repeated_task.ts";
import type { ConfigurationFollower } from "./configuration_follower.ts";
import type { HolderReporter } from "./holder_reporter.ts";

const CHECK_INTERVAL_MS = 500;
/** Age of a confirmation above which this entry VM asks for one itself. */
const ASK_AT_AGE_MS = 0.7 * MAX_CONFIRMATION_AGE_MS;
/** The same after the platform gave no answer. */
const ASK_AT_AGE_AWAY_MS = 0.3 * MAX_CONFIRMATION_AGE_MS;
/** Wait for the platform before others are asked; its calls may hang for seconds. */
const PLATFORM_PATIENCE_MS = 300;
/** Entry VMs asked in one check where there is no roster. */
const PEERS_ASKED = 3;
/** Members of a roster asked in one check, at least. */
const FEWEST_ASKED = 12;
/** Checks in which a whole roster is asked once. */
const CHECKS_PER_ROSTER = 2;

interface Deps {
  readonly configurationStore: ConfigurationStore;
  readonly configurationFollower: ConfigurationFollower;
  readonly holderReporter: HolderReporter;
  readonly witnessLog: WitnessLog;
  readonly freshness: Freshness;
  readonly memberTable: MemberTable;
  readonly probeOrder: ProbeOrder;
  readonly relayRole: RelayRole;
  readonly prober: Prober;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Asks the platform, a majority of the entry VMs, or others that were confirmed. */
export class FreshnessKeeper {
  readonly #deps: Deps;
  readonly #task = new RepeatedTask({
    intervalMs: CHECK_INTERVAL_MS,
    run: () => this.#check(),
  });
  #wasFresh = true;
  #platformAway = false;
  #isAskingPlatform = false;
  /** Members of the roster that were not asked yet in this turn. */
  #toAsk: EntryId[] = [];

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
    const askAtMs = this.#platformAway ? ASK_AT_AGE_AWAY_MS : ASK_AT_AGE_MS;
    if (freshness.ageMs(clock.monotonicMs()) > askAtMs) await this.#ask();
    this.#note(freshness.isFresh(clock.monotonicMs()));
  }

  /** Asks the platform, and others as well where it lately gave no answer or takes long to. */
  async #ask(): Promise<void> {
    const answer = this.#askPlatform();
    const answered = this.#platformAway
      ? false
      : await Promise.race([answer, pause(PLATFORM_PATIENCE_MS)]);
    if (answered !== true) await this.#askOthers();
  }

  async #askPlatform(): Promise<boolean> {
    if (this.#isAskingPlatform) return false;
    this.#isAskingPlatform = true;
    const { configurationFollower } = this.#deps;
    const answered = await configurationFollower.ask("confirm", 0);
    this.#isAskingPlatform = false;
    this.#platformAway = !answered;
    return answered;
  }

  async #askOthers(): Promise<void> {
    const { holderReporter, prober } = this.#deps;
    const { rosters } = holderReporter;
    if (rosters.length === 0) return await prober.poll(this.#confirmedPeers());
    await prober.poll(this.#nextOf(new Set(rosters.flat())));
    this.#confirmByMajority();
  }

  #confirmByMajority(): void {
    const {
      configurationStore,
      memberTable,
      holderReporter,
      witnessLog,
      freshness,
      clock,
    } = this.#deps;
    const { revision } = configurationStore;
    const { id: entry } = memberTable.self;
    witnessLog.record({ entry, revision }, clock.monotonicMs());
    const atMs = witnessLog.confirmedAtMs(holderReporter.rosters, revision);
    if (atMs !== undefined) freshness.confirm(atMs);
  }

  /** Members of a roster by turns, which bounds the probes of one check. */
  #nextOf(roster: ReadonlySet<EntryId>): Member[] {
    const { memberTable, probeOrder } = this.#deps;
    const { id: except } = memberTable.self;
    const byId = new Map(
      memberTable.others().filter(({ id }) => roster.has(id))
        .map((member) => [member.id, member]),
    );
    const count = Math.max(
      FEWEST_ASKED,
      Math.ceil(byId.size / CHECKS_PER_ROSTER),
    );
    if (this.#toAsk.length === 0) {
      const all = { count: byId.size, except };
      this.#toAsk = probeOrder.sample([...byId.values()], all)
        .map(({ id }) => id);
    }
    return this.#toAsk.splice(0, count).flatMap((id) => byId.get(id) ?? []);
  }

  /** Entry VMs whose confirmations are taken over where there is no roster. */
  #confirmedPeers(): Member[] {
    const { memberTable, probeOrder, relayRole } = this.#deps;
    const { id: except } = memberTable.self;
    const options = { count: PEERS_ASKED, except };
    return [
      ...relayRole.relaysByPreference().slice(0, PEERS_ASKED),
      ...probeOrder.sample(memberTable.others(), options),
    ];
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
