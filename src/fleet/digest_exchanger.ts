/** Exchanges digests with other VMs periodically, and thereby detects failed VMs. */

import type { Member } from "../core/membership/member.ts";
import type { FleetSize } from "../core/membership/fleet_size.ts";
import type { MemberTable } from "../core/membership/member_table.ts";
import type { ProbeOrder } from "../core/membership/probe_order.ts";
import { digestResponseSchema } from "../protocol/digest_schema.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";
import type { SuspendAwareClock } from "../runtime/suspend_aware_clock.ts";
import { RepeatedTask } from "../runtime/repeated_task.ts";
import type { CrashRegistry } from "../store/crash_registry.ts";
import type { UnfollowedWriter } from "../store/unfollowed_writer.ts";
import type { VmRegistry } from "../store/vm_registry.ts";
import type { CrashGossip } from "./crash_gossip.ts";
import type { DigestService } from "./digest_service.ts";
import type { FleetRelayRole, QueryOutcome } from "./fleet_relay_role.ts";
import type { StoreSubscriber } from "./store_subscriber.ts";
import type { VmClients } from "./vm_clients.ts";

/** Interval between rounds. Load and sessions received from other VMs are about this old. */
const ROUND_MS = 400;
/**
 * A relay contacts one in this many other relays per round, so that each pair of relays exchanges
 * digests about every 1.2 seconds, counting the requests of both sides.
 */
const RELAYS_PER_REQUEST = 6;
/** A follower probes one VM of the whole fleet once in this many rounds, to detect failures. */
const PROBE_EVERY_ROUNDS = 5;
/** Maximum number of overdue followers that a relay probes in one round. */
const MAX_OVERDUE_PROBED = 4;
/** Maximum number of relays that a follower tries in one round until one answers. */
const MAX_RELAYS_TRIED = 2;
/** Timeout of a digest exchange; round trips between VMs take a few milliseconds. */
const TIMEOUT_MS = 700;
/** Rounds after which a VM knows the other VMs, and thus whether it is a reader for them. */
const SETTLED_ROUNDS = 4;
/**
 * Rounds after which a VM that knows no other VM registers its address in the store anyway. When
 * many VMs restart together, some are alone for longer than the others need to settle.
 */
const ALONE_REGISTER_ROUNDS = 12;
/**
 * Rounds after which a VM that knows no other VM looks for them in the store. Most VMs learn of
 * all others from a seed in the first round, and each store call is billed.
 */
const ALONE_LOOKUP_ROUNDS = 4;
/**
 * A follower requests a digest from its relay once in this many rounds. Changes reach it up to this
 * much later, out of the two or three seconds that they may take.
 */
const FOLLOW_EVERY_ROUNDS = 2;
/** Seeds are contacted once in this many rounds, so that a partitioned fleet merges again. */
const SEED_EVERY_ROUNDS = 12;

/** Number of VMs that write the requests that crash servers to the store. */
const CRASH_WRITERS = 2;
/**
 * Urgent news are batched for this long before they are sent: requests that ran concurrently
 * are all found to have lost their server within some milliseconds.
 */
const URGENT_BATCH_MS = 20;

interface Deps {
  readonly memberTable: MemberTable;
  readonly probeOrder: ProbeOrder;
  readonly digestService: DigestService;
  readonly crashGossip: CrashGossip;
  readonly fleetSize: FleetSize;
  readonly clock: Clock;
  readonly suspendAwareClock: SuspendAwareClock;
  readonly logger: Logger;
  /** Addresses of VMs that may be running, from the settings and the store. */
  readonly seedAddresses: () => readonly string[];
  readonly vmRegistry: VmRegistry;
  readonly crashRegistry: CrashRegistry;
  readonly unfollowedWriter: UnfollowedWriter;
  readonly relayRole: FleetRelayRole;
  readonly storeSubscriber: StoreSubscriber;
  readonly vmClients: VmClients;
}

/** Exchanges digests with a few VMs in each round. */
export class DigestExchanger {
  readonly #deps: Deps;
  readonly #task = new RepeatedTask({
    intervalMs: ROUND_MS,
    run: () => this.#round(),
  });
  #rounds = 0;
  #urgentTimer: NodeJS.Timeout | undefined;

  constructor(deps: Deps) {
    this.#deps = deps;
    deps.crashGossip.onUrgent((here) => this.#sendUrgent(here));
    // Readers of the store must know of a write before they take it for a missed change.
    deps.unfollowedWriter.onWrite(() => this.#sendUrgent(true));
  }

  /** Starts the rounds. */
  start(): void {
    this.#task.start();
  }

  /** Stops the rounds and closes all connections. */
  async stop(): Promise<void> {
    this.#task.stop();
    clearTimeout(this.#urgentTimer);
    this.#deps.storeSubscriber.stop();
    await this.#deps.vmClients.close();
  }

  /** Sends a digest to all relays immediately, e.g. on shutdown; they inform the other VMs. */
  async announce(): Promise<void> {
    const relays = this.#deps.relayRole.otherRelays();
    await Promise.all(relays.map(({ peers }) => this.#exchange(peers)));
  }

  /**
   * Sends a digest to all VMs immediately if they exchange digests directly. In larger fleets many
   * VMs may have the same news, which then travels with the regular exchanges.
   */
  async announceToSmallFleet(): Promise<void> {
    if (this.#deps.relayRole.isFullMesh) await this.announce();
  }

  /**
   * Sends urgent news without waiting for the next round: the first VM to know of them sends
   * them to all relays, and each relay to its followers. News found meanwhile are included.
   */
  #sendUrgent(here: boolean): void {
    if (!here && !this.#deps.relayRole.isRelay) return;
    this.#urgentTimer ??= setTimeout(() => {
      this.#urgentTimer = undefined;
      const { memberTable, relayRole } = this.#deps;
      const followers = relayRole.isRelay
        ? memberTable.others().filter((member) => relayRole.isFollower(member))
        : [];
      const recipients = here
        ? [...relayRole.otherRelays(), ...followers]
        : followers;
      for (const { peers } of recipients) void this.#exchange(peers);
    }, URGENT_BATCH_MS);
  }

  /** Writes crashes to the store, so that they outlive all VMs; two VMs do so, as one may fail. */
  async #storeCrashes(): Promise<void> {
    const { relayRole, memberTable, crashRegistry, crashGossip } = this.#deps;
    const writers = relayRole.readers
      .filter((vm) => !relayRole.hasLostStore(vm))
      .sort()
      .slice(0, CRASH_WRITERS);
    if (!writers.includes(memberTable.self.id)) return;
    crashGossip.recordStored(await crashRegistry.sync());
  }

  async #round(): Promise<void> {
    const { memberTable, digestService, relayRole, clock, logger } = this.#deps;
    this.#rounds += 1;
    digestService.removeExpired();
    relayRole.update();
    this.#deps.storeSubscriber.update();
    // A round does not wait for slow VMs: the next one starts whether or not they answer.
    if (!relayRole.isRelay) this.#contactRelay();
    // A VM that starts later and finds no seed alive looks for readers in the store.
    const members = memberTable.others();
    const settled = members.length === 0
      ? ALONE_REGISTER_ROUNDS
      : SETTLED_ROUNDS;
    if (relayRole.isReader && this.#rounds > settled) {
      void this.#deps.vmRegistry.register();
      void this.#storeCrashes();
    }
    for (const member of this.#probeTargets()) void this.#probe(member);
    if (members.length === 0 && this.#rounds > ALONE_LOOKUP_ROUNDS) {
      void this.#deps.vmRegistry.refreshAddresses();
    }
    if (members.length === 0 || this.#rounds % SEED_EVERY_ROUNDS === 0) {
      this.#contactSeeds(members);
    }
    const nowMs = clock.monotonicMs();
    this.#deps.fleetSize.observe(memberTable.everyone(), nowMs);
    for (const id of memberTable.expire(nowMs, { keepDead: false })) {
      logger.warn("VM is considered dead", { peer: id });
    }
    await Promise.resolve();
  }

  /** VMs to probe in this round, besides the relay that this VM follows. */
  #probeTargets(): Member[] {
    const { memberTable, relayRole } = this.#deps;
    if (!relayRole.isRelay) {
      const due = this.#rounds % PROBE_EVERY_ROUNDS === 0;
      return due ? this.#sample(memberTable.others(), 1) : [];
    }
    const relays = relayRole.otherRelays();
    const count = Math.ceil(relays.length / RELAYS_PER_REQUEST);
    return [...this.#sample(relays, count), ...this.#overdueFollowers()];
  }

  /** Followers of this relay that have not sent a digest recently. */
  #overdueFollowers(): Member[] {
    const { memberTable, digestService, relayRole } = this.#deps;
    return memberTable.others()
      .filter((member) => relayRole.isFollower(member))
      .filter(({ id }) => !digestService.hasRecentDigest(id))
      .slice(0, MAX_OVERDUE_PROBED);
  }

  #sample(members: readonly Member[], max: number): Member[] {
    const chosen: Member[] = [];
    const count = Math.min(max, members.length);
    while (chosen.length < count) {
      const next = this.#deps.probeOrder.next(members);
      if (next === undefined || chosen.includes(next)) break;
      chosen.push(next);
    }
    return chosen;
  }

  /** Contacts a relay every few rounds, and in each round while no relay is available. */
  #contactRelay(): void {
    const due = this.#rounds % FOLLOW_EVERY_ROUNDS === 0;
    if (due || this.#deps.relayRole.readsStore) void this.#tryRelays();
  }

  async #tryRelays(): Promise<void> {
    const { relayRole } = this.#deps;
    for (
      const relay of relayRole.relaysByPreference().slice(0, MAX_RELAYS_TRIED)
    ) {
      const outcome = await this.#exchange(relay.peers);
      relayRole.recordOutcome(relay.id, outcome);
      if (outcome === "in_touch") return;
    }
  }

  async #probe(member: Member): Promise<void> {
    if (await this.#exchange(member.peers) !== "silent") return;
    const { memberTable, clock, logger } = this.#deps;
    // One packet may have been lost, so only two failures in a row count.
    if (await this.#exchange(member.peers) !== "silent") return;
    if (memberTable.suspect(member.id, clock.monotonicMs())) {
      logger.warn("VM is suspected to have failed", { peer: member.id });
    }
  }

  #contactSeeds(members: readonly Member[]): void {
    const { memberTable, seedAddresses } = this.#deps;
    const known = new Set(members.map(({ peers }) => peers));
    known.add(memberTable.self.peers);
    const unknown = seedAddresses().filter((seed) => !known.has(seed));
    for (const seed of new Set(unknown)) void this.#exchange(seed);
  }

  async #exchange(address: string): Promise<QueryOutcome> {
    const { digestService } = this.#deps;
    const request = digestService.createRequest();
    const askedMs = this.#deps.suspendAwareClock.nowMs();
    const answer = await this.#deps.vmClients.call(address, {
      timeoutMs: TIMEOUT_MS,
      invoke: async (client, signal) =>
        digestResponseSchema.parse(
          await client.exchange.mutate(request, { signal }),
        ),
    });
    if (!answer.ok) return "silent";
    const inTouch = digestService.receiveAnswer(answer.value, askedMs);
    return inTouch ? "in_touch" : "answered";
  }
}
