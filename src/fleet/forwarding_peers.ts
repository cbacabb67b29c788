/** Chooses the VMs through which requests are sent that this VM cannot send itself. */

import type { EntryId, ServiceId } from "../core/ids.ts";
import { NO_REVISION } from "../core/ids.ts";
import { hasLostService, type Member } from "../core/membership/member.ts";
import type { MemberTable } from "../core/membership/member_table.ts";
import type { Clock } from "../runtime/clock.ts";

/** A VM that declined a request for a service is not asked again for this long. */
const DECLINED_TTL_MS = 1_000;

interface Deps {
  readonly memberTable: MemberTable;
  readonly clock: Clock;
  readonly chance: () => number;
}

/** Knows which VMs may reach the servers of a service. */
export class ForwardingPeers {
  readonly #deps: Deps;
  readonly #declinedAtMs = new Map<string, number>();

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Returns a random VM that may reach a server of the service and is not in `asked`. */
  choose(
    service: ServiceId,
    asked: ReadonlySet<EntryId>,
  ): Member | undefined {
    const { memberTable, chance } = this.#deps;
    const candidates = memberTable.others().filter((member) =>
      member.state === "alive" && member.revision > NO_REVISION &&
      member.peers !== "" && !asked.has(member.id) &&
      !hasLostService(member, service) && !this.#hasDeclined(member.id, service)
    );
    return candidates[Math.floor(chance() * candidates.length)];
  }

  /** Records that a VM did not take a request for a service. */
  recordDeclined(vm: EntryId, service: ServiceId): void {
    const nowMs = this.#deps.clock.monotonicMs();
    for (const [key, atMs] of this.#declinedAtMs) {
      if (nowMs - atMs > DECLINED_TTL_MS) this.#declinedAtMs.delete(key);
    }
    this.#declinedAtMs.set(keyOf(vm, service), nowMs);
  }

  #hasDeclined(vm: EntryId, service: ServiceId): boolean {
    const atMs = this.#declinedAtMs.get(keyOf(vm, service));
    return atMs !== undefined &&
      this.#deps.clock.monotonicMs() - atMs <= DECLINED_TTL_MS;
  }
}

function keyOf(vm: EntryId, service: ServiceId): string {
  return JSON.stringify([vm, service]);
}
