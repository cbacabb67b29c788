/** Borrows permits for rate-limited servers from their owners when no server is available. */

import type { EntryId } from "../core/ids.ts";
import type { MemberTable } from "../core/membership/member_table.ts";
import type { LimitAdmission } from "../core/routing/limit_admission.ts";
import {
  incarnationIdOf,
  type ServerRecord,
} from "../core/servers/server_record.ts";
import { permitResponseSchema } from "../protocol/permit_schema.ts";
import type { VmClients } from "./vm_clients.ts";

/** Timeout of one permit request; the waiting client request has no alternative meanwhile. */
const TIMEOUT_MS = 150;
/** Maximum number of owners contacted for one client request. */
const MAX_OWNERS_CONTACTED = 3;
/** An owner that does not answer is not contacted again for this long. */
const UNANSWERED_RETRY_MS = 1_000;

interface Deps {
  readonly limitAdmission: LimitAdmission;
  readonly memberTable: MemberTable;
  readonly vmClients: VmClients;
  readonly chance: () => number;
}

interface PermitSource {
  readonly server: ServerRecord;
  readonly owner: EntryId;
}

/**
 * A rate limit is split among a few VMs, but clients connect to all of them. To keep permit
 * requests few, a VM sends one only when it would otherwise refuse a client request, and contacts
 * an owner again only after the time that the owner has given.
 */
export class PermitBorrower {
  readonly #deps: Deps;
  /** Pairs of server and owner with a request in flight: a second one would be refused. */
  readonly #inFlight = new Set<string>();

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Tries to borrow a permit for one of these servers; returns whether it succeeded. */
  async borrow(servers: readonly ServerRecord[]): Promise<boolean> {
    for (const source of this.#sampled(this.#sourcesOf(servers))) {
      const key = keyOf(source);
      if (this.#inFlight.has(key)) continue;
      this.#inFlight.add(key);
      const granted = await this.#request(source);
      this.#inFlight.delete(key);
      if (granted) return true;
    }
    return false;
  }

  #sourcesOf(servers: readonly ServerRecord[]): PermitSource[] {
    const { limitAdmission } = this.#deps;
    return servers
      .flatMap((server) =>
        limitAdmission.ownersToAsk(server).map((owner) => ({ server, owner }))
      )
      .filter((source) => !this.#inFlight.has(keyOf(source)));
  }

  #sampled(sources: readonly PermitSource[]): PermitSource[] {
    const { chance } = this.#deps;
    return sources.map((source) => ({ source, rank: chance() }))
      .sort((a, b) => a.rank - b.rank)
      .slice(0, MAX_OWNERS_CONTACTED)
      .map(({ source }) => source);
  }

  async #request({ server, owner }: PermitSource): Promise<boolean> {
    const { limitAdmission, memberTable, vmClients } = this.#deps;
    const peers = memberTable.get(owner)?.peers;
    if (peers === undefined) return false;
    const { instance, bornMs } = server;
    const answer = await vmClients.call(peers, {
      timeoutMs: TIMEOUT_MS,
      invoke: async (client, signal) =>
        permitResponseSchema.parse(
          await client.lend.mutate({ instance, bornMs }, { signal }),
        ),
    });
    const response = answer.ok
      ? answer.value
      : { granted: false, opensInMs: UNANSWERED_RETRY_MS };
    limitAdmission.recordAnswer(server, { owner, ...response });
    return response.granted;
  }
}

function keyOf({ server, owner }: PermitSource): string {
  return `${incarnationIdOf(server)}/${owner}`;
}
