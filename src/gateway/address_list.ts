/** Which addresses callers are told to use. */

import type { DataCentreId } from "../core/ids.ts";
import type { Member } from "../core/membership/member.ts";
import type { MemberTable } from "../core/membership/member_table.ts";
import type { VmSettings } from "../platform/vm_settings_wire.ts";
import type { Readiness } from "./readiness.ts";

/**
 * How long callers keep the answer. At 1 s they asked so often that each VM that had lost
 * power cost its neighbours' callers a second again and again; a VM that stops serves on
 * for longer than this, and who comes later finds its port closed and tries another.
 */
const TTL_MS = 3_000;
/** Addresses in one answer, at most. */
const MOST_ADDRESSES = 64;

interface Deps {
  readonly vmSettings: VmSettings;
  readonly memberTable: MemberTable;
  readonly readiness: Readiness;
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
    const addresses = nearFirst(members, dataCentre as DataCentreId)
      .slice(0, MOST_ADDRESSES)
      .map(({ callers }) => callers);
    return { addresses, ttlMs };
  }
}

function nearFirst(
  members: readonly Member[],
  dataCentre: DataCentreId,
): Member[] {
  const rank = (member: Member) => member.data_centre === dataCentre ? 0 : 1;
  return [...members].sort((a, b) => rank(a) - rank(b));
}
