/** Tells callers which entry VMs to use. */

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

/** Addresses of the entry VMs that serve. */
export class AddressBook {
  readonly #deps: Deps;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Nearest data centre first; within it by chance, so that callers spread. */
  answer(query: unknown): Addresses {
    const { settings, memberTable, chance } = this.#deps;
    const asked = (query as { data_centre?: unknown }).data_centre;
    const near = typeof asked === "string" ? asked : settings.entry.data_centre;
    const sorted = memberTable.advertisableMembers()
      .map((member) => ({ member, order: orderOf(member, near) + chance() }))
      .sort((a, b) => a.order - b.order);
    return {
      addresses: sorted.map(({ member }) => ({
        address: member.callers,
        data_centre: member.data_centre,
      })),
      max_age: settings.callers.address_max_age_s,
    };
  }
}

/** Suspects come after all others; the near data centre before the far ones. */
function orderOf(member: Member, near: string): number {
  return (member.data_centre === near ? 0 : 1) +
    (member.state === "suspect" ? 2 : 0);
}
