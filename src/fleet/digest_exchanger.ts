/** Exchanges digests with other VMs again and again, and so finds who has failed. */

import type { Member } from "../core/membership/member.ts";
import type { FleetSize } from "../core/membership/fleet_size.ts";
import type { MemberTable } from "../core/membership/member_table.ts";
import type { ProbeOrder } from "../core/membership/probe_order.ts";
import { digestAnswerSchema } from "../protocol/digest_schema.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";
import type { SuspendAwareClock } from "../runtime/suspend_aware_clock.ts";
import { RepeatedTask } from "../runtime/repeated_task.ts";
import type { CrashRegistry } from "../store/crash_registry.ts";
import type { VmRegistry } from "../store/vm_registry.ts";
import type { CrashNews } from "./crash_news.ts";
import type { DigestKeeper } from "./digest_keeper.ts";
import type { Asked, FleetRelayRole } from "./fleet_relay_role.ts";
import type { StoreSubscriber } from "./store_subscriber.ts";
import type { VmClients } from "./vm_clients.ts";

/** Time between rounds. Load and sessions that others tell are about as old as this. */
const ROUND_MS = 400;
/**
 * Other relays for each one that a relay asks in a round: each pair of them talks about
 * every 1.2 seconds, counting the questions of both.
 */
const RELAYS_PER_ASKED = 6;
/** A VM that follows a relay asks one VM of all in so many rounds, to find who has failed. */
const PROBE_EVERY_ROUNDS = 5;
/** Silent followers that a relay asks in one round, at most. */
const MOST_SILENT_ASKED = 4;
/** Relays that a VM asks in one round, at most, until one answers. */
const MOST_RELAYS_TRIED = 2;
/** Longest wait for an answer; VMs stand a few milliseconds apart. */
const TIMEOUT_MS = 700;
/** Rounds after which a VM knows the others, and so whether it reads the store for them. */
const SETTLED_ROUNDS = 4;
/**
 * Rounds after which a VM that knows no other writes its address down all the same. Where
 * many come back together, some are alone for longer than the others need to settle.
 */
const ALONE_WRITE_ROUNDS = 12;
/**
 * Rounds after which a VM that knows no other looks for them in the store. Most hear of all
 * by a seed in the first round, and the store is paid by the call.
 */
const ALONE_ROUNDS = 4;
/**
 * A VM that follows a relay asks it in every so many rounds: changes take up to that much
 * longer to come to it, of the two or three seconds that they may take.
 */
const FOLLOW_EVERY_ROUNDS = 2;
/** Every so many rounds a seed is asked, so that fleets that were apart join again. */
const SEED_EVERY_ROUNDS = 12;

/** VMs that keep requests that crash servers in the store. */
const CRASH_KEEPERS = 2;
/**
 * News that cannot wait is gathered for this long before it is told: requests that ran beside
 * each other are all known to have lost their server within some milliseconds.
 */
const URGENT_DELAY_MS = 20;

interface Deps {
  readonly memberTable: MemberTable;
  readonly probeOrder: ProbeOrder;
  readonly digestKeeper: DigestKeeper;
  readonly crashNews: CrashNews;
  readonly fleetSize: FleetSize;
  readonly clock: Clock;
  readonly suspendAwareClock: SuspendAwareClock;
  readonly logger: Logger;
  /** Addresses of VMs that may be there, from settings and store. */
  readonly seedAddresses: () => readonly string[];
  readonly vmRegistry: VmRegistry;
  readonly crashRegistry: CrashRegistry;
  readonly relayRole: FleetRelayRole;
  readonly storeSubscriber: StoreSubscriber;
  readonly vmClients: VmClients;
}

/** Talks to a few VMs in each round. */
export class DigestExchanger {
  readonly #deps: Deps;
  readonly #task = new RepeatedTask({
    intervalMs: ROUND_MS,
    run: () => this.#round(),
  });
  #rounds = 0;
  #urgent: NodeJS.Timeout | undefined;

  constructor(deps: Deps) {
    this.#deps = deps;
    deps.crashNews.onUrgent((here) => this.#tellUrgent(here));
  }

  /** Starts to talk. */
  start(): void {
    this.#task.start();
  }

  /** Stops to talk. */
  async stop(): Promise<void> {
    this.#task.stop();
    clearTimeout(this.#urgent);
    this.#deps.storeSubscriber.stop();
    await this.#deps.vmClients.close();
  }

  /** Tells all relays at once, as when this VM leaves; the others hear of it by them. */
  async announce(): Promise<void> {
    const relays = this.#deps.relayRole.others();
    await Promise.all(relays.map(({ peers }) => this.#ask(peers)));
  }

  /**
   * Tells at once what cannot wait for the next round: the VM that is first to know tells all
   * relays, and each relay those that follow it. News that comes meanwhile goes along.
   */
  #tellUrgent(here: boolean): void {
    if (!here && !this.#deps.relayRole.held) return;
    this.#urgent ??= setTimeout(() => {
      this.#urgent = undefined;
      const { memberTable, relayRole } = this.#deps;
      const followers = relayRole.held
        ? memberTable.others().filter((member) => relayRole.isFollower(member))
        : [];
      const told = here ? [...relayRole.others(), ...followers] : followers;
      for (const { peers } of told) void this.#ask(peers);
    }, URGENT_DELAY_MS);
  }

  /** Two VMs of the fleet, so that one may fail, keep in the store what must outlast all of them. */
  async #keepCrashes(): Promise<void> {
    const { relayRole, memberTable, crashRegistry, crashNews } = this.#deps;
    const keepers = relayRole.readers
      .filter((vm) => !relayRole.hasLostStore(vm))
      .sort()
      .slice(0, CRASH_KEEPERS);
    if (!keepers.includes(memberTable.self.id)) return;
    crashNews.read(await crashRegistry.update());
  }

  async #round(): Promise<void> {
    const { memberTable, digestKeeper, relayRole, clock, logger } = this.#deps;
    this.#rounds += 1;
    digestKeeper.expire();
    relayRole.update();
    this.#deps.storeSubscriber.update();
    // Nothing waits for slow VMs: the next round comes whether or not they answer.
    if (!relayRole.held) this.#follow();
    // Whoever starts later and finds no seed alive looks for readers in the store.
    const members = memberTable.others();
    const settled = members.length === 0 ? ALONE_WRITE_ROUNDS : SETTLED_ROUNDS;
    if (relayRole.reads && this.#rounds > settled) {
      void this.#deps.vmRegistry.write();
      void this.#keepCrashes();
    }
    for (const member of this.#chosen()) void this.#probe(member);
    if (members.length === 0 && this.#rounds > ALONE_ROUNDS) {
      void this.#deps.vmRegistry.whileAlone();
    }
    if (members.length === 0 || this.#rounds % SEED_EVERY_ROUNDS === 0) {
      this.#askSeeds(members);
    }
    const nowMs = clock.monotonicMs();
    this.#deps.fleetSize.observe(memberTable.everyone(), nowMs);
    for (const id of memberTable.expire(nowMs, { keepDead: false })) {
      logger.warn("VM is taken as dead", { peer: id });
    }
    await Promise.resolve();
  }

  /** VMs to ask besides the relay that this VM follows. */
  #chosen(): Member[] {
    const { memberTable, relayRole } = this.#deps;
    if (!relayRole.held) {
      const due = this.#rounds % PROBE_EVERY_ROUNDS === 0;
      return due ? this.#some(memberTable.others(), 1) : [];
    }
    const relays = relayRole.others();
    const count = Math.ceil(relays.length / RELAYS_PER_ASKED);
    return [...this.#some(relays, count), ...this.#silentFollowers()];
  }

  /** VMs that should have asked this relay lately, but have not. */
  #silentFollowers(): Member[] {
    const { memberTable, digestKeeper, relayRole } = this.#deps;
    return memberTable.others()
      .filter((member) => relayRole.isFollower(member))
      .filter(({ id }) => !digestKeeper.hasHeard(id))
      .slice(0, MOST_SILENT_ASKED);
  }

  #some(members: readonly Member[], most: number): Member[] {
    const chosen: Member[] = [];
    const count = Math.min(most, members.length);
    while (chosen.length < count) {
      const next = this.#deps.probeOrder.next(members);
      if (next === undefined || chosen.includes(next)) break;
      chosen.push(next);
    }
    return chosen;
  }

  /** Asks a relay now and then, and in each round while none is followed. */
  #follow(): void {
    const due = this.#rounds % FOLLOW_EVERY_ROUNDS === 0;
    if (due || this.#deps.relayRole.asksStore) void this.#askRelay();
  }

  async #askRelay(): Promise<void> {
    const { relayRole } = this.#deps;
    for (const relay of relayRole.toAsk().slice(0, MOST_RELAYS_TRIED)) {
      const asked = await this.#ask(relay.peers);
      relayRole.heard(relay.id, asked);
      if (asked === "in_touch") return;
    }
  }

  async #probe(member: Member): Promise<void> {
    if (await this.#ask(member.peers) !== "silent") return;
    const { memberTable, clock, logger } = this.#deps;
    // A second miss in a row is needed where one packet may have been lost.
    if (await this.#ask(member.peers) !== "silent") return;
    if (memberTable.suspect(member.id, clock.monotonicMs())) {
      logger.warn("VM is suspected", { peer: member.id });
    }
  }

  #askSeeds(members: readonly Member[]): void {
    const { memberTable, seedAddresses } = this.#deps;
    const known = new Set(members.map(({ peers }) => peers));
    known.add(memberTable.self.peers);
    const unknown = seedAddresses().filter((seed) => !known.has(seed));
    for (const seed of new Set(unknown)) void this.#ask(seed);
  }

  async #ask(address: string): Promise<Asked> {
    const { digestKeeper } = this.#deps;
    const question = digestKeeper.question();
    const askedMs = this.#deps.suspendAwareClock.nowMs();
    const answer = await this.#deps.vmClients.call(address, {
      timeoutMs: TIMEOUT_MS,
      ask: async (client, signal) =>
        digestAnswerSchema.parse(
          await client.exchange.mutate(question, { signal }),
        ),
    });
    if (!answer.ok) return "silent";
    const inTouch = digestKeeper.hearAnswer(answer.value, askedMs);
    return inTouch ? "in_touch" : "answered";
  }
}
