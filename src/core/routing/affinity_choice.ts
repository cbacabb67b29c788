/** Chooses a backend server: one that is likely to hold the prompt, unless it is busy. */

import type { DataCentreId, InstanceId } from "../ids.ts";
import type { ServerLoads } from "../servers/server_loads.ts";
import type { ServerRecord } from "../servers/server_record.ts";
import type { UnitHash } from "./version_choice.ts";

/**
 * A server is passed over for its cached prompt when its work exceeds the mean by this
 * factor and by `SLACK_MS`. Bounded loads of consistent hashing use 1.25 to 2.
 */
const BOUND_FACTOR = 1.5;
/** Work that may lie on one server before its load matters, in milliseconds. */
const SLACK_MS = 300;
/** Work by which a server in another data centre must be less busy to be taken. */
const OTHER_DATA_CENTRE_MS = 15;
/** Work that a failure rate of 1 counts as, in milliseconds. */
const FAILURE_PENALTY_MS = 400;

/** What the choice is made for. */
export interface ChoiceInput {
  readonly candidates: readonly ServerRecord[];
  /** What requests have in common that gain from the same server, if anything. */
  readonly affinity: string | undefined;
  readonly dataCentre: DataCentreId;
  /** Servers that this request has been sent to already. */
  readonly tried: ReadonlySet<InstanceId>;
  readonly nowMs: number;
}

/** Chooses among the servers of a service. */
export class AffinityChoice {
  readonly #loads: ServerLoads;
  readonly #unitHash: UnitHash;
  readonly #chance: () => number;

  constructor(
    { serverLoads, unitHash, chance }: {
      serverLoads: ServerLoads;
      unitHash: UnitHash;
      chance: () => number;
    },
  ) {
    this.#loads = serverLoads;
    this.#unitHash = unitHash;
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
    if (input.affinity === undefined) return this.#leastBusy(servers, input);
    return this.#byAffinity(servers, input);
  }

  #byAffinity(
    servers: readonly ServerRecord[],
    input: ChoiceInput,
  ): ServerRecord | undefined {
    const total = servers.reduce((sum, server) => sum + this.#work(server), 0);
    const bound = BOUND_FACTOR * total / Math.max(1, servers.length) + SLACK_MS;
    const ranked = servers
      .map((server) => ({
        server,
        rank: this.#unitHash(`${input.affinity}/${server.instance}`),
      }))
      .sort((a, b) => a.rank - b.rank);
    const first = ranked.find(({ server }) => this.#work(server) <= bound);
    return first?.server ?? this.#leastBusy(servers, input);
  }

  #leastBusy(
    servers: readonly ServerRecord[],
    { dataCentre }: ChoiceInput,
  ): ServerRecord | undefined {
    let best: ServerRecord | undefined;
    let bestCost = Infinity;
    for (const server of servers) {
      const away = server.dataCentre === dataCentre ? 0 : OTHER_DATA_CENTRE_MS;
      // Chance breaks ties, so that VMs do not all turn to the same server.
      const cost = this.#work(server) + away + this.#chance();
      if (cost >= bestCost) continue;
      best = server;
      bestCost = cost;
    }
    return best;
  }

  #work({ instance }: ServerRecord): number {
    const failures = this.#loads.failureRate(instance) * FAILURE_PENALTY_MS;
    return this.#loads.work(instance) + failures;
  }
}
