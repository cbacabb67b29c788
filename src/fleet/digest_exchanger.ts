/** Exchanges digests with other VMs again and again, and so finds who has failed. */

import type { RepeatBudget } from "../core/limits/repeat_budget.ts";
import type { Member } from "../core/membership/member.ts";
import type { MemberTable } from "../core/membership/member_table.ts";
import type { ProbeOrder } from "../core/membership/probe_order.ts";
import { TrpcClients } from "../peers/trpc_clients.ts";
import { digestSchema, type VmDigest } from "../protocol/digest_schema.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";
import { RepeatedTask } from "../runtime/repeated_task.ts";
import { SocketMeter } from "../runtime/socket_meter.ts";
import type { VmRegistry } from "../store/vm_registry.ts";
import type { DigestKeeper } from "./digest_keeper.ts";
import type { DigestRouter } from "./digest_router.ts";

/** Time between rounds. Load and sessions that others tell are about as old as this. */
const ROUND_MS = 400;
/** VMs asked in one round: at 7 VMs each pair talks about every 1.2 seconds. */
const ASKED_PER_ROUND = 1;
/** Longest wait for an answer; VMs stand a few milliseconds apart. */
const TIMEOUT_MS = 700;
/** Every so many rounds a seed is asked, so that fleets that were apart join again. */
const SEED_EVERY_ROUNDS = 12;

interface Deps {
  readonly memberTable: MemberTable;
  readonly probeOrder: ProbeOrder;
  readonly digestKeeper: DigestKeeper;
  readonly repeatBudget: RepeatBudget;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Addresses of VMs that may be there, from settings and store. */
  readonly seedAddresses: () => readonly string[];
  readonly vmRegistry: VmRegistry;
}

/** Talks to a few VMs in each round. */
export class DigestExchanger {
  readonly #deps: Deps;
  readonly #task = new RepeatedTask({
    intervalMs: ROUND_MS,
    run: () => this.#round(),
  });
  readonly #clients = new TrpcClients<DigestRouter>({
    meter: new SocketMeter(),
    headers: {},
    localAddress: undefined,
  });
  #rounds = 0;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Starts to talk. */
  start(): void {
    this.#task.start();
  }

  /** Stops to talk. */
  async stop(): Promise<void> {
    this.#task.stop();
    await this.#clients.close();
  }

  /** Tells everyone at once, as when this VM leaves. */
  async announce(): Promise<void> {
    const { memberTable } = this.#deps;
    await Promise.all(
      memberTable.others().map(({ peers }) => this.#ask(peers)),
    );
  }

  async #round(): Promise<void> {
    const { memberTable, digestKeeper, clock, logger } = this.#deps;
    this.#rounds += 1;
    // Nothing waits for slow VMs: the next round comes whether or not they answer.
    for (const member of this.#chosen()) void this.#probe(member);
    const members = memberTable.others();
    if (members.length === 0) void this.#deps.vmRegistry.whileAlone();
    if (members.length === 0 || this.#rounds % SEED_EVERY_ROUNDS === 0) {
      this.#askSeeds(members);
    }
    digestKeeper.expire();
    this.#deps.repeatBudget.setVms(members.length + 1);
    const nowMs = clock.monotonicMs();
    for (const id of memberTable.expire(nowMs, { keepDead: false })) {
      logger.warn("VM is taken as dead", { peer: id });
    }
    await Promise.resolve();
  }

  #chosen(): Member[] {
    const { memberTable, probeOrder } = this.#deps;
    const members = memberTable.others();
    const chosen: Member[] = [];
    const count = Math.min(ASKED_PER_ROUND, members.length);
    while (chosen.length < count) {
      const next = probeOrder.next(members);
      if (next === undefined || chosen.includes(next)) break;
      chosen.push(next);
    }
    return chosen;
  }

  async #probe(member: Member): Promise<void> {
    if (await this.#ask(member.peers)) return;
    const { memberTable, clock, logger } = this.#deps;
    // A second miss in a row is needed where one packet may have been lost.
    if (await this.#ask(member.peers)) return;
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

  async #ask(address: string): Promise<boolean> {
    const { digestKeeper } = this.#deps;
    const input: VmDigest = digestKeeper.digest();
    const askedMs = this.#deps.clock.monotonicMs();
    const answer = await this.#clients.call(address, {
      timeoutMs: TIMEOUT_MS,
      ask: async (client, signal) =>
        digestSchema.parse(await client.exchange.mutate(input, { signal })),
    });
    if (!answer.ok) return false;
    digestKeeper.hearAnswer(answer.value, askedMs);
    return true;
  }
}
