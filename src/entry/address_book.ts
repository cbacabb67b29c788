/** Provides callers with the addresses of entry VMs. */

import type { MemberTable } from "../core/membership/member_table.ts";
import type { Member } from "../core/membership/member.ts";
import type { RandomSource } from "../core/routing/server_chooser.ts";
import type { Addresses } from "../protocol/address_schema.ts";
import type { Settings } from "../protocol/settings_schema.ts";

interface Deps {
  readonly memberTable: MemberTable;
  readonly settings: Settings;
  readonly chance: RandomSource;
}

/** Addresses of the entry VMs that callers can use. */
export class AddressBook {
  readonly #deps: Deps;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Lists the requested data centre first, in random order within each group to spread callers. */
  list(query: unknown): Addresses {
    const { settings, memberTable, chance } = this.#deps;
    const requested = (query as { data_centre?: unknown }).data_centre;
    const preferredDataCentre = typeof requested === "string"
      ? requested
      : settings.entry.data_centre;
    const sorted = memberTable.advertisableMembers()
      .map((member) => ({
        member,
        weight: orderWeight(member, preferredDataCentre) + chance(),
      }))
      .sort((a, b) => a.weight - b.weight);
    return {
      addresses: sorted.map(({ member }) => ({
        address: member.callers,
        data_centre: member.data_centre,
      })),
      max_age: settings.callers.address_max_age_s,
    };
  }
}

/** Sorts suspect members last, and the preferred data centre before others. */
function orderWeight(member: Member, preferredDataCentre: string): number {
  return (member.data_centre === preferredDataCentre ? 0 : 1) +
    (member.state === "suspect" ? 2 : 0);
}
