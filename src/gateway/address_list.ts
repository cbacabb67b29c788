/** Which addresses callers are told to use. */

import type { DataCentreId } from "../core/ids.ts";
import type { Member } from "../core/membership/member.ts";
import type { MemberTable } from "../core/membership/member_table.ts";
import type { UnitHash } from "../core/routing/version_choice.ts";
import type { VmSettings } from "../platform/vm_settings_wire.ts";
import type { Readiness } from "./readiness.ts";

/**
 * How long callers keep the answer, in milliseconds. Where they ask often, each VM that has lost
 * power costs its neighbours' callers a wait again and again; a VM that stops serves on for
 * longer than this, and who comes later finds its port closed and tries another.
 */
const TTL_MS = 3_000;
/** Addresses in one answer, at most. */
const MOST_ADDRESSES = 64;
/**
 * From this many VMs in a caller's own data centre, it is named those and few others. With
 * fewer, the loss of some at once would leave it with too few that answer.
 */
const ENOUGH_NEAR = 8;
/**
 * Addresses of the caller's own data centre for each one elsewhere, which keeps a caller
 * served that has lost its data centre before its answer runs out. Callers draw one by
 * chance, and the bytes of those that draw one elsewhere cross between data centres.
 */
const NEAR_FOR_EACH_FAR = 8;

/** Near addresses, at most, so that the others fit beside them. */
const MOST_NEAR = Math.floor(
  MOST_ADDRESSES * NEAR_FOR_EACH_FAR / (NEAR_FOR_EACH_FAR + 1),
);

interface Deps {
  readonly vmSettings: VmSettings;
  readonly memberTable: MemberTable;
  readonly readiness: Readiness;
  readonly unitHash: UnitHash;
}

/** An answer to a caller who asks where to go. */
export interface AddressAnswer {
  readonly addresses: readonly string[];
  readonly ttlMs: number;
}

/** Names the VMs that are ready, as this one sees them. */
export class AddressList {
  readonly #deps: Deps;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Answers a caller in a data centre. */
  answer(dataCentre: string | undefined): AddressAnswer {
    const { vmSettings, memberTable, readiness } = this.#deps;
    const ttlMs = Math.min(TTL_MS, vmSettings.bounds.maxAddressTtlMs);
    const callable = memberTable.callable().filter((member) =>
      member.callers !== "" &&
      (member.id !== vmSettings.vm || readiness.isReady())
    );
    // Suspects are left out, unless there are so many that this VM may be the one cut off.
    const sound = callable.filter(({ state }) => state === "alive");
    const members = 2 * sound.length > callable.length ? sound : callable;
    const addresses = this.#nearFirst(members, dataCentre as DataCentreId)
      .slice(0, MOST_ADDRESSES)
      .map(({ callers }) => callers);
    return { addresses, ttlMs };
  }

  /** VMs of a data centre, and as many others as it takes. */
  #nearFirst(members: readonly Member[], dataCentre: DataCentreId): Member[] {
    const near = members.filter((vm) => vm.data_centre === dataCentre);
    const far = this.#shuffled(
      members.filter((vm) => vm.data_centre !== dataCentre),
    );
    if (near.length < ENOUGH_NEAR) return [...near, ...far];
    const named = this.#shuffled(near).slice(0, MOST_NEAR);
    const few = Math.ceil(named.length / NEAR_FOR_EACH_FAR);
    return [...named, ...far.slice(0, few)];
  }

  /** In an order of this VM's own, so that callers of different VMs spread over all. */
  #shuffled(members: readonly Member[]): Member[] {
    const { vmSettings, unitHash } = this.#deps;
    const rank = ({ id }: Member) => unitHash(`callers/${vmSettings.vm}/${id}`);
    return members
      .map((member) => ({ member, at: rank(member) }))
      .sort((a, b) => a.at - b.at)
      .map(({ member }) => member);
  }
}
