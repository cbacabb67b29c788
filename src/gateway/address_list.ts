/** Chooses the VM addresses that are returned to callers. */

import type { DataCentreId } from "../core/ids.ts";
import { isPartitioned, type Member } from "../core/membership/member.ts";
import type { MemberTable } from "../core/membership/member_table.ts";
import type { UnitHash } from "../core/routing/version_choice.ts";
import type { VmSettings } from "../platform/vm_settings_wire.ts";
import type { Readiness } from "./readiness.ts";

/**
 * How long callers cache the answer, in milliseconds. With frequent lookups, each VM that has lost
 * power delays the callers of its neighbours repeatedly. A VM that shuts down keeps serving for
 * longer than this; callers that come later find its port closed and try another VM.
 */
const ANSWER_TTL_MS = 3_000;
/** Maximum number of addresses in one answer. */
const MAX_ADDRESSES = 64;
/**
 * With at least this many VMs in the caller's data centre, the answer lists those and a few others.
 * With fewer, losing several at the same time would leave the caller with too few that respond.
 */
const MIN_LOCAL_VMS = 8;
/**
 * Addresses in the caller's data centre per remote address. The remote addresses keep a caller
 * served if its data centre fails before the answer expires. Callers pick an address at random,
 * and the traffic of those that pick a remote one crosses between data centres.
 */
const LOCAL_PER_REMOTE = 8;

/** Maximum number of local addresses that leaves room for the remote ones. */
const MAX_LOCAL_ADDRESSES = Math.floor(
  MAX_ADDRESSES * LOCAL_PER_REMOTE / (LOCAL_PER_REMOTE + 1),
);

interface Deps {
  readonly vmSettings: VmSettings;
  readonly memberTable: MemberTable;
  readonly readiness: Readiness;
  readonly unitHash: UnitHash;
}

/** Answer to an address lookup of a caller. */
export interface AddressAnswer {
  readonly addresses: readonly string[];
  readonly ttlMs: number;
}

/** Lists the VMs that are ready, as this VM sees them. */
export class AddressList {
  readonly #deps: Deps;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Answers a caller in `dataCentre`; undefined if the caller did not specify one. */
  answer(dataCentre: string | undefined): AddressAnswer {
    const { vmSettings, memberTable, readiness } = this.#deps;
    const ttlMs = Math.min(ANSWER_TTL_MS, vmSettings.bounds.maxAddressTtlMs);
    const callable = memberTable.advertisableMembers().filter((member) =>
      member.callers !== "" &&
      (member.id !== vmSettings.vm || readiness.isReady())
    );
    // Suspects are left out, unless half or more are suspect: this VM may be the one cut off.
    const alive = callable.filter(({ state }) => state === "alive");
    const reachable = 2 * alive.length > callable.length ? alive : callable;
    const members = this.#withServers(reachable);
    const addresses = this.#localFirst(members, dataCentre as DataCentreId)
      .slice(0, MAX_ADDRESSES)
      .map(({ callers }) => callers);
    return { addresses, ttlMs };
  }

  /**
   * Leaves out VMs that are partitioned from servers which others reach: they serve callers through
   * those. If half or more are partitioned, all are listed, so that a few don't get all callers.
   */
  #withServers(members: readonly Member[]): readonly Member[] {
    const withServers = members.filter((vm) => !isPartitioned(vm, members));
    return 2 * withServers.length > members.length ? withServers : members;
  }

  /** VMs of the data centre first, then as many remote VMs as needed. */
  #localFirst(members: readonly Member[], dataCentre: DataCentreId): Member[] {
    const local = members.filter((vm) => vm.data_centre === dataCentre);
    const remote = this.#shuffled(
      members.filter((vm) => vm.data_centre !== dataCentre),
    );
    if (local.length < MIN_LOCAL_VMS) return [...local, ...remote];
    const chosen = this.#shuffled(local).slice(0, MAX_LOCAL_ADDRESSES);
    const remoteCount = Math.ceil(chosen.length / LOCAL_PER_REMOTE);
    return [...chosen, ...remote.slice(0, remoteCount)];
  }

  /** Each VM has its own order, so that callers of different VMs spread over the fleet. */
  #shuffled(members: readonly Member[]): Member[] {
    const { vmSettings, unitHash } = this.#deps;
    const rank = ({ id }: Member) => unitHash(`callers/${vmSettings.vm}/${id}`);
    return members
      .map((member) => ({ member, at: rank(member) }))
      .sort((a, b) => a.at - b.at)
      .map(({ member }) => member);
  }
}
