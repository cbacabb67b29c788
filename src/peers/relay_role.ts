/** Determines whether this entry VM calls the platform itself or goes through a relay. */

import {
  includesMember,
  selectRelays,
} from "../core/membership/relay_choice.ts";
import type { Member } from "../core/membership/member.ts";
import type { MemberTable } from "../core/membership/member_table.ts";
import { unitHash } from "../runtime/hashing.ts";

interface Deps {
  readonly memberTable: MemberTable;
}

/** Derives the relay role from the current members; there is no election. */
export class RelayRole {
  readonly #memberTable: MemberTable;
  #relays: Member[] = [];
  #seenChanges = -1;

  constructor({ memberTable }: Deps) {
    this.#memberTable = memberTable;
  }

  /** Whether this entry VM is a relay of its data centre. */
  get isRelay(): boolean {
    return includesMember(this.#current(), this.#memberTable.self.id);
  }

  /** Relays in the order in which to try them; each entry VM has its own, to spread the load. */
  relaysByPreference(): Member[] {
    const { id: self } = this.#memberTable.self;
    return this.#current()
      .filter(({ id }) => id !== self)
      .map((relay) => ({ relay, weight: unitHash(`${self}/${relay.id}`) }))
      .sort((a, b) => a.weight - b.weight)
      .map(({ relay }) => relay);
  }

  #current(): Member[] {
    const { viewVersion: changes, self } = this.#memberTable;
    if (changes !== this.#seenChanges) {
      const members = this.#memberTable.others();
      this.#relays = selectRelays(self, { members, unitHash });
      this.#seenChanges = changes;
    }
    return this.#relays;
  }
}
