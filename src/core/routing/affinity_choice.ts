/** Chooses a backend server: one that is likely to hold the prompt, unless it is busy. */

import type { DataCentreId, InstanceId } from "../ids.ts";
import type { ServerLoads } from "../servers/server_loads.ts";
import type { ServerRecord } from "../servers/server_record.ts";
import { HashRing } from "./hash_ring.ts";
import type { PromptHolders } from "./prompt_holders.ts";
import type { UnitHash } from "./version_choice.ts";

/**
 * Part of the cost of reading shared parts that the first and second server of a prompt
 * on the ring pay while none is known to hold them. Where VMs tell each other of holders,
 * only those that have sent the prompt within the last second are unknown.
 */
const RING_PARTS_IF_TOLD: readonly number[] = [0.7, 0.85];
/** The same where VMs do not: what others sent is most likely on the first two. */
const RING_PARTS: readonly number[] = [0, 0.5];
/**
 * What reading shared parts again counts for, beyond its own time: it also holds up all
 * that runs on the server.
 */
const MISSING_FACTOR = 4;
/**
 * Servers that are looked at besides those that hold the prompt. All VMs hear of the least
 * busy server at the same time; if each looked at all servers, all would turn to that one.
 */
const DRAWN_SERVERS = 2;
/** Work by which a server in another data centre must be less busy to be taken. */
const OTHER_DATA_CENTRE_MS = 15;
/** Work that a failure rate of 1 counts as, in milliseconds. */
const FAILURE_PENALTY_MS = 400;

/** What the choice is made for. */
export interface ChoiceInput {
  readonly candidates: readonly ServerRecord[];
  /** What requests have in common that gain from the same server, if anything. */
  readonly affinity: string | undefined;
  /** What a server pays that does not hold the shared parts, in milliseconds. */
  readonly sharedMs: number;
  readonly dataCentre: DataCentreId;
  /** Servers that this request has been sent to already. */
  readonly tried: ReadonlySet<InstanceId>;
  /** Candidates that take only so much from all VMs, of which this one has a part. */
  readonly limited: readonly ServerRecord[];
  readonly nowMs: number;
}

/** Chooses among the servers of a service. */
export class AffinityChoice {
  readonly #loads: ServerLoads;
  readonly #promptHolders: PromptHolders;
  readonly #ring: HashRing;
  readonly #chance: () => number;

  constructor(
    { serverLoads, promptHolders, unitHash, chance }: {
      serverLoads: ServerLoads;
      promptHolders: PromptHolders;
      unitHash: UnitHash;
      chance: () => number;
    },
  ) {
    this.#loads = serverLoads;
    this.#promptHolders = promptHolders;
    this.#ring = new HashRing(unitHash);
    this.#chance = chance;
  }

  /** Returns the server to use; undefined when there is none that was not tried. */
  choose(input: ChoiceInput): ServerRecord | undefined {
    const untried = input.candidates.filter((server) =>
      !input.tried.has(server.instance)
    );
    const sound = untried.filter((server) =>
      !this.#loads.isEjected(server.instance, input.nowMs)
    );
    const servers = sound.length > 0 ? sound : untried;
    return this.#cheapest(servers, input);
  }

  #cheapest(
    servers: readonly ServerRecord[],
    input: ChoiceInput,
  ): ServerRecord | undefined {
    const missing = this.#missingParts(servers, input);
    const looked = missing === undefined ? servers : [
      ...missing.keys(),
      // Few VMs may use such a server: drawn as seldom as others it would have nothing to do.
      ...input.limited.filter((server) => servers.includes(server)),
      ...this.#draw(servers, DRAWN_SERVERS),
    ];
    let best: ServerRecord | undefined;
    let bestCost = Infinity;
    for (const server of looked) {
      const away = server.dataCentre === input.dataCentre
        ? 0
        : OTHER_DATA_CENTRE_MS;
      const part = missing === undefined ? 0 : missing.get(server) ?? 1;
      // Chance breaks ties, so that VMs do not all turn to the same server.
      const cost = this.#work(server, input.nowMs) + away +
        MISSING_FACTOR * part * input.sharedMs + this.#chance();
      if (cost >= bestCost) continue;
      best = server;
      bestCost = cost;
    }
    return best;
  }

  /** Part of the shared parts that servers lack which may hold them; others lack all. */
  #missingParts(
    servers: readonly ServerRecord[],
    { affinity, nowMs }: ChoiceInput,
  ): ReadonlyMap<ServerRecord, number> | undefined {
    if (affinity === undefined) return undefined;
    const known = this.#promptHolders.of(affinity, nowMs);
    const parts = new Map<ServerRecord, number>();
    for (const server of servers) {
      if (known.has(server.instance)) parts.set(server, 0);
    }
    const { shared } = this.#promptHolders;
    if (shared && parts.size > 0) return parts;
    const ringParts = shared ? RING_PARTS_IF_TOLD : RING_PARTS;
    // The same on every VM.
    const nearest = this.#ring.nearest(servers, {
      key: affinity,
      idOf: ({ instance }) => instance,
      count: ringParts.length,
    });
    nearest.forEach((server, at) => {
      if (!parts.has(server)) parts.set(server, ringParts[at] ?? 1);
    });
    return parts;
  }

  #draw(servers: readonly ServerRecord[], count: number): ServerRecord[] {
    const drawn: ServerRecord[] = [];
    for (let n = 0; n < count; n++) {
      const server = servers[Math.floor(this.#chance() * servers.length)];
      if (server !== undefined) drawn.push(server);
    }
    return drawn;
  }

  #work({ instance }: ServerRecord, nowMs: number): number {
    const failures = this.#loads.failureRate(instance, nowMs) *
      FAILURE_PENALTY_MS;
    return this.#loads.work(instance) + failures;
  }
}
