/** Selects a backend server: one that probably has the prompt in its cache, unless it is busy. */

import type { DataCentreId, InstanceId } from "../ids.ts";
import type { ServerLoads } from "../servers/server_loads.ts";
import type { ServerRecord } from "../servers/server_record.ts";
import { HashRing } from "./hash_ring.ts";
import type { PromptHolders } from "./prompt_holders.ts";
import type { UnitHash } from "./version_choice.ts";

/**
 * Fraction of the cache miss cost that is charged to the first and second server of a prompt on the
 * ring while no server is known to have its shared parts cached. If VMs advertise prompt holders to
 * each other, only servers that were sent the prompt within the last second are unknown.
 */
const SHARED_RING_MISS_FRACTIONS: readonly number[] = [0.7, 0.85];
/**
 * The same if VMs do not advertise holders: a prompt sent by other VMs is most likely cached on the
 * first two servers.
 */
const UNSHARED_RING_MISS_FRACTIONS: readonly number[] = [0, 0.5];
/**
 * Weight of the time that processing uncached shared parts takes. It exceeds 1 because the
 * processing also delays all other requests on the server.
 */
const CACHE_MISS_WEIGHT = 4;
/**
 * Number of random servers considered besides those that may have the prompt cached. All VMs learn
 * of the least busy server at the same time; if each considered all servers, all would choose it.
 */
const RANDOM_CANDIDATES = 2;
/** Extra cost of a server in another data centre, in milliseconds of work. */
const OTHER_DATA_CENTRE_PENALTY_MS = 15;
/** Cost of a failure rate of 1, in milliseconds of work. */
const FAILURE_PENALTY_MS = 400;

/** Request and candidate servers of a selection. */
export interface ChoiceInput {
  readonly candidates: readonly ServerRecord[];
  /** Key shared by requests that benefit from the same server, if any. */
  readonly affinity: string | undefined;
  /** Time to process the shared prompt parts where they are not cached, in milliseconds. */
  readonly sharedMs: number;
  readonly dataCentre: DataCentreId;
  /** Servers that this request has already been sent to. */
  readonly tried: ReadonlySet<InstanceId>;
  /** Addresses, `IP:port`, of servers that are chosen only if no other healthy one is left. */
  readonly avoided: ReadonlySet<string>;
  /** Candidates that limit their request rate across all VMs. */
  readonly rateLimited: readonly ServerRecord[];
  readonly nowMs: number;
}

/** Selects the server with the lowest estimated cost among those of a service. */
export class AffinityChoice {
  readonly #loads: ServerLoads;
  readonly #promptHolders: PromptHolders;
  readonly #ring: HashRing;
  readonly #random: () => number;

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
    this.#random = chance;
  }

  /** Returns the server to use, or undefined if all candidates have been tried. */
  choose(input: ChoiceInput): ServerRecord | undefined {
    const untried = input.candidates.filter((server) =>
      !input.tried.has(server.instance)
    );
    const healthy = untried.filter((server) =>
      !this.#loads.isEjected(server.instance, input.nowMs)
    );
    const preferred = healthy.filter(({ address }) =>
      !input.avoided.has(address)
    );
    const servers = [preferred, healthy, untried]
      .find(({ length }) => length > 0) ?? [];
    return this.#cheapest(servers, input);
  }

  #cheapest(
    servers: readonly ServerRecord[],
    input: ChoiceInput,
  ): ServerRecord | undefined {
    const missFractions = this.#missFractions(servers, input);
    const considered = missFractions === undefined ? servers : [
      ...missFractions.keys(),
      // Few VMs may send to such a server; if drawn as rarely as others, it would stay idle.
      ...input.rateLimited.filter((server) => servers.includes(server)),
      ...this.#draw(servers, RANDOM_CANDIDATES),
    ];
    let best: ServerRecord | undefined;
    let bestCost = Infinity;
    for (const server of considered) {
      const penalty = server.dataCentre === input.dataCentre
        ? 0
        : OTHER_DATA_CENTRE_PENALTY_MS;
      const missFraction = missFractions === undefined
        ? 0
        : missFractions.get(server) ?? 1;
      // Random tie-breaking keeps VMs from all choosing the same server.
      const cost = this.#work(server, input.nowMs) + penalty +
        CACHE_MISS_WEIGHT * missFraction * input.sharedMs + this.#random();
      if (cost >= bestCost) continue;
      best = server;
      bestCost = cost;
    }
    return best;
  }

  /**
   * Assumed fraction of the shared parts that is not cached, for servers that may have them cached.
   * All other servers count as having none of them. Undefined for requests without an affinity key.
   */
  #missFractions(
    servers: readonly ServerRecord[],
    { affinity, nowMs }: ChoiceInput,
  ): ReadonlyMap<ServerRecord, number> | undefined {
    if (affinity === undefined) return undefined;
    const holders = this.#promptHolders.holdersOf(affinity, nowMs);
    const misses = new Map<ServerRecord, number>();
    for (const server of servers) {
      if (holders.has(server.instance)) misses.set(server, 0);
    }
    const { shared } = this.#promptHolders;
    if (shared && misses.size > 0) return misses;
    const ringMisses = shared
      ? SHARED_RING_MISS_FRACTIONS
      : UNSHARED_RING_MISS_FRACTIONS;
    // Every VM finds the same servers.
    const nearest = this.#ring.nearest(servers, {
      key: affinity,
      idOf: ({ instance }) => instance,
      count: ringMisses.length,
    });
    nearest.forEach((server, rank) => {
      if (!misses.has(server)) misses.set(server, ringMisses[rank] ?? 1);
    });
    return misses;
  }

  #draw(servers: readonly ServerRecord[], count: number): ServerRecord[] {
    const drawn: ServerRecord[] = [];
    for (let n = 0; n < count; n++) {
      const server = servers[Math.floor(this.#random() * servers.length)];
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
