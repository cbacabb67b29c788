/** Chooses a backend server: one that is likely to hold the prompt, unless it is busy. */

import type { DataCentreId, InstanceId } from "../ids.ts";
import type { ServerLoads } from "../servers/server_loads.ts";
import type { ServerRecord } from "../servers/server_record.ts";
import { HashRing } from "./hash_ring.ts";
import type { UnitHash } from "./version_choice.ts";

/**
 * Part of the cost of reading shared parts that the second server of a prompt pays: what
 * the first cannot take goes there, so it often holds them as well.
 */
const SECOND_SERVER_PART = 0.5;
/**
 * What reading shared parts again counts for, beyond its own time: it also holds up all
 * that runs on the server.
 */
const MISSING_FACTOR = 2;
/**
 * Servers that are looked at besides those that hold the prompt. All VMs hear of the least
 * busy server at the same time; if each looked at all servers, all would turn to that one.
 */
const DRAWN_SERVERS = 4;
/** Servers that prompts with the same shared parts go to first. */
const HOLDERS = 2;
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
  readonly nowMs: number;
}

/** Chooses among the servers of a service. */
export class AffinityChoice {
  readonly #loads: ServerLoads;
  readonly #ring: HashRing;
  readonly #chance: () => number;

  constructor(
    { serverLoads, unitHash, chance }: {
      serverLoads: ServerLoads;
      unitHash: UnitHash;
      chance: () => number;
    },
  ) {
    this.#loads = serverLoads;
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
    const holders = this.#holders(servers, input.affinity);
    const drawn = holders.length === 0
      ? servers
      : [...holders, ...this.#draw(servers, DRAWN_SERVERS)];
    let best: ServerRecord | undefined;
    let bestCost = Infinity;
    for (const server of drawn) {
      const away = server.dataCentre === input.dataCentre
        ? 0
        : OTHER_DATA_CENTRE_MS;
      const missing = holders.length === 0
        ? 0
        : MISSING_FACTOR * input.sharedMs * missingPart(server, holders);
      // Chance breaks ties, so that VMs do not all turn to the same server.
      const cost = this.#work(server, input.nowMs) + away + missing +
        this.#chance();
      if (cost >= bestCost) continue;
      best = server;
      bestCost = cost;
    }
    return best;
  }

  /** Servers that prompts with these parts go to first, the same on every VM. */
  #holders(
    servers: readonly ServerRecord[],
    affinity: string | undefined,
  ): ServerRecord[] {
    if (affinity === undefined) return [];
    return this.#ring.order(servers, {
      key: affinity,
      idOf: ({ instance }) => instance,
    }).slice(0, HOLDERS);
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

function missingPart(
  server: ServerRecord,
  [first, second]: readonly ServerRecord[],
): number {
  if (server === first) return 0;
  return server === second ? SECOND_SERVER_PART : 1;
}
