/** Asks owners of limited servers for places, for requests that no server takes otherwise. */

import type { EntryId } from "../core/ids.ts";
import type { MemberTable } from "../core/membership/member_table.ts";
import type { LimitAdmission } from "../core/routing/limit_admission.ts";
import {
  incarnationIdOf,
  type ServerRecord,
} from "../core/servers/server_record.ts";
import { permitResponseSchema } from "../protocol/permit_schema.ts";
import type { VmClients } from "./vm_clients.ts";

/** Longest wait for an answer, in milliseconds: the request that waits has no other way. */
const TIMEOUT_MS = 150;
/** Owners asked for one request, at most. */
const MOST_ASKED = 3;
/** An owner that does not answer is not asked again for so long, in milliseconds. */
const SILENT_MS = 1_000;

interface Deps {
  readonly limitAdmission: LimitAdmission;
  readonly memberTable: MemberTable;
  readonly vmClients: VmClients;
  readonly chance: () => number;
}

interface Lender {
  readonly server: ServerRecord;
  readonly owner: EntryId;
}

/**
 * A limit is split among few VMs, but callers come to all. Only who would have to refuse a request
 * asks, and no owner again before the time that it has told, so that questions are few.
 */
export class PlaceBorrower {
  readonly #deps: Deps;
  /** Servers and owners that are being asked: two questions at once are a place and a refusal. */
  readonly #underWay = new Set<string>();

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Tries to borrow a place at one of these servers; returns whether it could. */
  async borrow(servers: readonly ServerRecord[]): Promise<boolean> {
    for (const lender of this.#drawn(this.#lendersOf(servers))) {
      const key = keyOf(lender);
      if (this.#underWay.has(key)) continue;
      this.#underWay.add(key);
      const lent = await this.#ask(lender);
      this.#underWay.delete(key);
      if (lent) return true;
    }
    return false;
  }

  #lendersOf(servers: readonly ServerRecord[]): Lender[] {
    const { limitAdmission } = this.#deps;
    return servers
      .flatMap((server) =>
        limitAdmission.ownersToAsk(server).map((owner) => ({ server, owner }))
      )
      .filter((lender) => !this.#underWay.has(keyOf(lender)));
  }

  #drawn(lenders: readonly Lender[]): Lender[] {
    const { chance } = this.#deps;
    return lenders.map((lender) => ({ lender, rank: chance() }))
      .sort((a, b) => a.rank - b.rank)
      .slice(0, MOST_ASKED)
      .map(({ lender }) => lender);
  }

  async #ask({ server, owner }: Lender): Promise<boolean> {
    const { limitAdmission, memberTable, vmClients } = this.#deps;
    const peers = memberTable.get(owner)?.peers;
    if (peers === undefined) return false;
    const { instance, bornMs } = server;
    const answer = await vmClients.call(peers, {
      timeoutMs: TIMEOUT_MS,
      ask: async (client, signal) =>
        permitResponseSchema.parse(
          await client.lend.mutate({ instance, bornMs }, { signal }),
        ),
    });
    const lent = answer.ok
      ? answer.value
      : { granted: false, opensInMs: SILENT_MS };
    limitAdmission.recordAnswer(server, { owner, ...lent });
    return lent.granted;
  }
}

function keyOf({ server, owner }: Lender): string {
  return `${incarnationIdOf(server)}/${owner}`;
}
