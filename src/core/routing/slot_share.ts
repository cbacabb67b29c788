/** Splits the slots of a server among all VMs, without coordination. */

import type { EntryId, InstanceId } from "../ids.ts";
import type { Member } from "../membership/member.ts";
import type { ServerRecord } from "../servers/server_record.ts";
import type { UnitHash } from "./version_choice.ts";

/** The part of a server's slots that no other VM uses. */
export interface OwnSlots {
  /** VMs that share the slots. */
  readonly vms: number;
  readonly ownSlots: number;
}

interface Deps {
  readonly memberTable: {
    readonly self: Member;
    readonly viewVersion: number;
    others(): Member[];
  };
  readonly unitHash: UnitHash;
}

/**
 * Each VM gets an equal part; the slots that remain go to the VMs that a hash ranks first. VMs with
 * the same view of the members split alike.
 */
export class SlotShare {
  readonly #deps: Deps;
  /** Rank of this VM for each server, valid for one view of the members. */
  readonly #ranks = new Map<InstanceId, number>();
  #vms = 1;
  #viewVersion = -1;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Slots of the server for this VM. */
  of({ instance, slots }: Pick<ServerRecord, "instance" | "slots">): OwnSlots {
    const { memberTable } = this.#deps;
    if (memberTable.viewVersion !== this.#viewVersion) {
      this.#viewVersion = memberTable.viewVersion;
      this.#vms = memberTable.others().length + 1;
      this.#ranks.clear();
    }
    const vms = this.#vms;
    const remaining = slots % vms;
    const isRankedFirst = remaining > 0 && this.#rank(instance) < remaining;
    return { vms, ownSlots: Math.floor(slots / vms) + (isRankedFirst ? 1 : 0) };
  }

  #rank(instance: InstanceId): number {
    const known = this.#ranks.get(instance);
    if (known !== undefined) return known;
    const { memberTable, unitHash } = this.#deps;
    const hash = (vm: EntryId) => unitHash(`slots/${instance}/${vm}`);
    const own = hash(memberTable.self.id);
    const rank = memberTable.others().filter(({ id }) => hash(id) < own).length;
    this.#ranks.set(instance, rank);
    return rank;
  }
}
