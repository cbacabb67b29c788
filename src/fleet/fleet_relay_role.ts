/** Whether this VM is a relay, which VMs are, and who of them answers. */

import { fleetRelays, isMesh } from "../core/membership/fleet_relays.ts";
import type { Member } from "../core/membership/member.ts";
import type { MemberTable } from "../core/membership/member_table.ts";
import type { UnitHash } from "../core/routing/version_choice.ts";
import type { EntryId } from "../core/ids.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";
import type { StoreSync } from "../store/store_sync.ts";

/**
 * A VM that has heard no relay in touch with the store for this long asks the store
 * itself: two questions, and within the seconds in which changes must be in force.
 */
const RELAY_PATIENCE_MS = 1_800;
/** A relay that failed is asked last for this long. */
const RELAY_AVOIDED_MS = 3_000;

interface Deps {
  readonly memberTable: MemberTable;
  readonly storeSync: StoreSync;
  readonly unitHash: UnitHash;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** The role is taken and left as VMs come and go; nothing is elected. */
export class FleetRelayRole {
  readonly #deps: Deps;
  readonly #failedAtMs = new Map<EntryId, number>();
  #seenChanges = -1;
  #meshed = true;
  #here: Member[] = [];
  #elsewhere: Member[] = [];
  #heardAtMs = -Infinity;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Whether this VM is a relay of its data centre. */
  get held(): boolean {
    this.#refresh();
    return this.#isSelf(this.#here);
  }

  /** Whether all VMs talk to each other, without relays between them. */
  get meshed(): boolean {
    this.#refresh();
    return this.#meshed;
  }

  /** Other relays, of all data centres. */
  others(): Member[] {
    this.#refresh();
    return [...this.#here, ...this.#elsewhere].filter(({ id }) =>
      id !== this.#deps.memberTable.self.id
    );
  }

  /**
   * Relays in the order in which to ask them: those of this data centre first, and those
   * that failed lately last. Among equals the order is this VM's own, so that askers spread.
   */
  toAsk(): Member[] {
    this.#refresh();
    const { memberTable, unitHash, clock } = this.#deps;
    const { self } = memberTable;
    const nowMs = clock.monotonicMs();
    const rank = (relay: Member) =>
      unitHash(`${self.id}/${relay.id}`) +
      (relay.data_centre === self.data_centre ? 0 : 1) +
      (this.#failedLately(relay.id, nowMs) ? 2 : 0);
    return this.others().sort((a, b) => rank(a) - rank(b));
  }

  /** Whether a VM of this data centre asks this relay before all others. */
  isFollower(member: Member): boolean {
    this.#refresh();
    const { memberTable, unitHash } = this.#deps;
    const { self } = memberTable;
    if (member.data_centre !== self.data_centre) return false;
    if (this.#here.some(({ id }) => id === member.id)) return false;
    const rank = ({ id }: Member) => unitHash(`${member.id}/${id}`);
    return this.#here.every((relay) => rank(self) <= rank(relay));
  }

  /** Notes whether a relay answered that is in touch with the store. */
  heard(relay: EntryId, inTouch: boolean): void {
    const nowMs = this.#deps.clock.monotonicMs();
    if (!inTouch) {
      this.#failedAtMs.set(relay, nowMs);
      return;
    }
    this.#failedAtMs.delete(relay);
    this.#heardAtMs = nowMs;
  }

  /** Whether this VM asks the store itself, as a relay or since none was heard lately. */
  get asksStore(): boolean {
    return this.#deps.storeSync.direct;
  }

  /** Brings up to date whether this VM asks the store itself. */
  update(): void {
    const { storeSync, clock, logger } = this.#deps;
    const { held } = this;
    const silentMs = clock.monotonicMs() - this.#heardAtMs;
    const direct = held || silentMs > RELAY_PATIENCE_MS;
    if (direct === storeSync.direct) return;
    storeSync.setDirect(direct);
    logger.info(direct ? "Store is asked here" : "Relays are followed", {
      relay: held,
      relays: this.#here.length,
      silent_ms: Number.isFinite(silentMs) ? Math.round(silentMs) : undefined,
    });
  }

  #refresh(): void {
    const { memberTable, unitHash } = this.#deps;
    if (memberTable.changes === this.#seenChanges) return;
    this.#seenChanges = memberTable.changes;
    const { self } = memberTable;
    const members = [self, ...memberTable.others()];
    const relaysOf = (dataCentre: string) =>
      fleetRelays(members, { dataCentre, unitHash });
    const dataCentres = new Set(members.map((member) => member.data_centre));
    dataCentres.delete(self.data_centre);
    this.#meshed = isMesh(members);
    this.#here = relaysOf(self.data_centre);
    this.#elsewhere = [...dataCentres].flatMap(relaysOf);
  }

  #isSelf(relays: readonly Member[]): boolean {
    const { id: self } = this.#deps.memberTable.self;
    return relays.some(({ id }) => id === self);
  }

  #failedLately(id: EntryId, nowMs: number): boolean {
    const atMs = this.#failedAtMs.get(id);
    return atMs !== undefined && nowMs - atMs < RELAY_AVOIDED_MS;
  }
}
