/** Renews the confirmation of the configuration in force before it expires. */

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
import type { HeadFollower } from "./head_follower.ts";
import type { HolderReporter } from "./holder_reporter.ts";

const CHECK_INTERVAL_MS = 500;
/** Age of the last confirmation above which this entry VM requests a new one. */
const REFRESH_AGE_MS = 0.7 * MAX_CONFIRMATION_AGE_MS;
/** The same while the platform is unavailable. */
const REFRESH_AGE_WITHOUT_PLATFORM_MS = 0.3 * MAX_CONFIRMATION_AGE_MS;
/** Wait for the platform before peers are polled as well; platform calls can hang for seconds. */
const PLATFORM_WAIT_MS = 300;
/** Entry VMs polled per check, from each source of peers, when there is no roster. */
const PEERS_PER_CHECK = 3;
/** Minimum number of roster members polled per check. */
const MIN_MEMBERS_PER_CHECK = 12;
/** Number of checks in which every roster member is polled once. */
const CHECKS_PER_ROSTER = 2;

interface Deps {
  readonly configurationStore: ConfigurationStore;
  readonly headFollower: HeadFollower;
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

/**
 * Renews the confirmation through the platform, a majority of each roster, or recently confirmed
 * peers.
 */
export class FreshnessMonitor {
  readonly #deps: Deps;
  readonly #task = new RepeatedTask({
    intervalMs: CHECK_INTERVAL_MS,
    run: () => this.#check(),
  });
  #wasFresh = true;
  #platformUnavailable = false;
  #isPlatformCallInFlight = false;
  /** Roster members still to be polled in the current pass. */
  #pollQueue: EntryId[] = [];

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  start(): void {
    this.#task.start();
  }

  stop(): void {
    this.#task.stop();
  }

  async #check(): Promise<void> {
    const { freshness, clock } = this.#deps;
    const maxAgeMs = this.#platformUnavailable
      ? REFRESH_AGE_WITHOUT_PLATFORM_MS
      : REFRESH_AGE_MS;
    if (freshness.ageMs(clock.monotonicMs()) > maxAgeMs) await this.#renew();
    this.#logTransition(freshness.isFresh(clock.monotonicMs()));
  }

  /** Polls the platform, and peers as well if the platform is unavailable or slow. */
  async #renew(): Promise<void> {
    const answer = this.#confirmByPlatform();
    const isConfirmed = this.#platformUnavailable
      ? false
      : await Promise.race([answer, pause(PLATFORM_WAIT_MS)]);
    if (isConfirmed !== true) await this.#confirmByPeers();
  }

  async #confirmByPlatform(): Promise<boolean> {
    if (this.#isPlatformCallInFlight) return false;
    this.#isPlatformCallInFlight = true;
    const { headFollower } = this.#deps;
    const isConfirmed = await headFollower.refresh("confirm", 0);
    this.#isPlatformCallInFlight = false;
    this.#platformUnavailable = !isConfirmed;
    return isConfirmed;
  }

  async #confirmByPeers(): Promise<void> {
    const { holderReporter, prober } = this.#deps;
    const { rosters } = holderReporter;
    if (rosters.length === 0) return await prober.poll(this.#peersToPoll());
    await prober.poll(this.#nextToPoll(new Set(rosters.flat())));
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

  /** Returns the next roster members in rotation, which bounds the probes per check. */
  #nextToPoll(roster: ReadonlySet<EntryId>): Member[] {
    const { memberTable, probeOrder } = this.#deps;
    const { id: except } = memberTable.self;
    const byId = new Map(
      memberTable.others().filter(({ id }) => roster.has(id))
        .map((member) => [member.id, member]),
    );
    const count = Math.max(
      MIN_MEMBERS_PER_CHECK,
      Math.ceil(byId.size / CHECKS_PER_ROSTER),
    );
    if (this.#pollQueue.length === 0) {
      const options = { count: byId.size, except };
      this.#pollQueue = probeOrder.sample([...byId.values()], options)
        .map(({ id }) => id);
    }
    return this.#pollQueue.splice(0, count).flatMap((id) => byId.get(id) ?? []);
  }

  /** Returns the entry VMs whose confirmations are adopted when there is no roster. */
  #peersToPoll(): Member[] {
    const { memberTable, probeOrder, relayRole } = this.#deps;
    const { id: except } = memberTable.self;
    const options = { count: PEERS_PER_CHECK, except };
    return [
      ...relayRole.relaysByPreference().slice(0, PEERS_PER_CHECK),
      ...probeOrder.sample(memberTable.others(), options),
    ];
  }

  #logTransition(fresh: boolean): void {
    if (fresh === this.#wasFresh) return;
    this.#wasFresh = fresh;
    const { configurationStore, logger } = this.#deps;
    const { revision } = configurationStore;
    if (fresh) logger.info("Entry serves again", { revision });
    else logger.warn("Entry is isolated and refuses requests", { revision });
  }
}
