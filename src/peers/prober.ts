/** Probes other entry VMs in turn, which detects failures and spreads membership changes. */

import type { ConfigurationStore } from "../core/config/configuration_store.ts";
import type { Freshness } from "../core/config/freshness.ts";
import type { WitnessLog } from "../core/config/witness_log.ts";
import type { EntryId } from "../core/ids.ts";
import type { Member } from "../core/membership/member.ts";
import type { MemberTable } from "../core/membership/member_table.ts";
import type { ProbeOrder } from "../core/membership/probe_order.ts";
import type { EntryMetrics } from "../metrics/entry_metrics.ts";
import type { Settings } from "../protocol/settings_schema.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";
import { RepeatedTask } from "../runtime/repeated_task.ts";
import type { Peers } from "./peers.ts";

/** Number of entry VMs that are asked to probe an entry VM that did not answer. */
const INDIRECT_PROBES = 3;
/** Seeds are probed once in this many rounds, so that a partitioned fleet merges again. */
const SEED_EVERY_ROUNDS = 15;

interface Deps {
  readonly settings: Settings;
  readonly memberTable: MemberTable;
  readonly probeOrder: ProbeOrder;
  readonly peers: Peers;
  readonly configurationStore: ConfigurationStore;
  readonly freshness: Freshness;
  readonly witnessLog: WitnessLog;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly entryMetrics: EntryMetrics;
}

/** Runs the probes of one entry VM. */
export class Prober {
  readonly #deps: Deps;
  readonly #task: RepeatedTask;
  #listedAddresses: readonly string[] = [];
  #rounds = 0;

  constructor(deps: Deps) {
    this.#deps = deps;
    const intervalMs = deps.settings.peers.probe_interval_ms;
    this.#task = new RepeatedTask({ intervalMs, run: () => this.#round() });
  }

  /** Starts the probe rounds. */
  start(): void {
    this.#task.start();
  }

  /** Stops the probe rounds. */
  stop(): void {
    this.#task.stop();
  }

  /** Sets the peer addresses from the platform's list, which are used like seeds. */
  setListedAddresses(addresses: readonly string[]): void {
    this.#listedAddresses = addresses;
  }

  /** Probes `target` once on behalf of another entry VM. */
  async probeFor(target: string): Promise<boolean> {
    return await this.#probe(target, false);
  }

  /** Probes all `members` for the revision that each holds and the age of its confirmation. */
  async poll(members: readonly Member[]): Promise<void> {
    await Promise.all(
      members.map((member) => this.#probe(member.peers, false)),
    );
  }

  /** Sends the current state of this entry VM to `members`, without waiting for a round. */
  async announce(members: readonly Member[]): Promise<void> {
    await this.poll(members);
  }

  async #round(): Promise<void> {
    const { memberTable, probeOrder, entryMetrics, clock, logger } = this.#deps;
    const members = memberTable.others();
    entryMetrics.members.set(members.length);
    this.#rounds += 1;
    if (members.length === 0 || this.#rounds % SEED_EVERY_ROUNDS === 0) {
      await this.#joinBySeeds(members);
    }
    const member = probeOrder.next(members);
    if (member !== undefined) await this.#probeMember(member);
    const nowMs = clock.monotonicMs();
    const keepDead = !this.#deps.freshness.isFresh(nowMs);
    for (const id of memberTable.expire(nowMs, { keepDead })) {
      logger.warn("Entry is considered dead", { peer: id });
    }
  }

  async #joinBySeeds(members: readonly Member[]): Promise<void> {
    const known = new Set(members.map((member) => member.peers));
    known.add(this.#deps.settings.listen.peers);
    const seeds = [
      ...this.#deps.settings.peers.seeds,
      ...this.#listedAddresses,
    ];
    const unknown = [...new Set(seeds)].filter((seed) => !known.has(seed));
    await Promise.all(unknown.map((seed) => this.#probe(seed, true)));
  }

  async #probeMember(member: Member): Promise<void> {
    if (await this.#probe(member.peers, false)) return;
    if (await this.#probeIndirectly(member)) return;
    const { memberTable, clock, logger } = this.#deps;
    if (memberTable.suspect(member.id, clock.monotonicMs())) {
      logger.warn("Entry is suspected to have failed", { peer: member.id });
    }
  }

  async #probeIndirectly(member: Member): Promise<boolean> {
    const { memberTable, probeOrder, peers } = this.#deps;
    const helpers = probeOrder.sample(memberTable.others(), {
      count: INDIRECT_PROBES,
      except: member.id,
    });
    const answers = await Promise.all(
      helpers.map((helper) => peers.probeFor(helper.peers, member.peers)),
    );
    return answers.some((answer) => answer.ok && answer.value);
  }

  async #probe(address: string, joining: boolean): Promise<boolean> {
    const {
      peers,
      memberTable,
      freshness,
      witnessLog,
      clock,
      entryMetrics,
      logger,
    } = this.#deps;
    const news = memberTable.nextGossip();
    const startedMs = clock.monotonicMs();
    const answer = await peers.probe(address, { news, joining });
    entryMetrics.probes.inc({
      outcome: answer.ok ? "answered" : answer.error.tag,
    });
    if (!answer.ok) return false;
    const { self, confirmed_age_ms, is_witness } = answer.value;
    const received = [self, ...answer.value.news];
    for (const member of memberTable.merge(received, clock.monotonicMs())) {
      logger.info("Entry changed state", {
        peer: member.id,
        state: member.state,
      });
    }
    const { id: entry, revision } = self;
    if (is_witness) witnessLog.record({ entry, revision }, startedMs);
    if (this.#hasNoLaterRevision(self.id)) {
      freshness.confirm(startedMs - confirmed_age_ms);
    }
    return true;
  }

  #hasNoLaterRevision(id: EntryId): boolean {
    const { memberTable, configurationStore } = this.#deps;
    const revision = memberTable.get(id)?.revision;
    return revision !== undefined && revision <= configurationStore.revision;
  }
}
