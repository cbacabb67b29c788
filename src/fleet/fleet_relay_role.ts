/** Whether this VM is a relay or reads the store, which VMs do, and who of them answers. */

import {
  fleetRelays,
  isMesh,
  storeReaders,
} from "../core/membership/fleet_relays.ts";
import type { Member } from "../core/membership/member.ts";
import type { MemberTable } from "../core/membership/member_table.ts";
import type { UnitHash } from "../core/routing/version_choice.ts";
import type { EntryId } from "../core/ids.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";
import { asksStore, type StoreAccess } from "../store/store_access.ts";
import type { StoreSync } from "../store/store_sync.ts";

/**
 * A VM that has heard no relay in touch with the store for this long asks the store
 * itself: two questions, and within the seconds in which changes must be in force.
 */
const RELAY_PATIENCE_MS = 1_800;
/**
 * A relay asks the store itself once the newest confirmation by a reader is older than
 * this. Readers confirm every 1.4 to 1.7 s on the users' deployments, and tell at once; a
 * change that no reader hears of is then in force on relays after this time, and on their
 * followers 0.8 s later, of the 3 s that the users allow in fleets of this size.
 */
const READER_PATIENCE_MS = 2_100;
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
  #readers: Member[] = [];
  #heardAtMs = -Infinity;
  #confirmedAtMs = -Infinity;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Whether this VM is a relay of its data centre. */
  get held(): boolean {
    this.#refresh();
    return this.#isSelf(this.#here);
  }

  /** Whether this VM reads the store for others. */
  get reads(): boolean {
    this.#refresh();
    return this.#isSelf(this.#readers);
  }

  /** Readers whose news this VM waits for: none, unless it is a relay of a large fleet. */
  readersToFollow(): Member[] {
    if (!this.held || this.#meshed) return [];
    const { id: self } = this.#deps.memberTable.self;
    return this.#readers.filter(({ id }) => id !== self);
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

  /** Notes that a reader has told of a confirmation of its own at `atMs`. */
  heardReader(atMs: number): void {
    this.#confirmedAtMs = Math.max(this.#confirmedAtMs, atMs);
  }

  /** Whether this VM asks the store itself, for others or since none was heard lately. */
  get asksStore(): boolean {
    return asksStore(this.#deps.storeSync.access);
  }

  /** Brings up to date how this VM comes to know what the store holds. */
  update(): void {
    const { storeSync, clock, logger } = this.#deps;
    const nowMs = clock.monotonicMs();
    const access = this.#accessAt(nowMs);
    const before = storeSync.access;
    if (access === before) return;
    storeSync.setAccess(access);
    logger.info("Access to the store changed", {
      access,
      before,
      relay: this.held,
      relays: this.#here.length,
      readers: this.#readers.map(({ id }) => id).join(","),
      relay_silent_ms: roundedAge(nowMs - this.#heardAtMs),
      reader_confirmed_ms: roundedAge(nowMs - this.#confirmedAtMs),
    });
  }

  #accessAt(nowMs: number): StoreAccess {
    if (this.reads) return "reader";
    const isHeard = this.held
      ? nowMs - this.#confirmedAtMs <= READER_PATIENCE_MS
      : nowMs - this.#heardAtMs <= RELAY_PATIENCE_MS;
    return isHeard ? "listener" : "stand_in";
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
    this.#readers = storeReaders(members, { unitHash });
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

/** Undefined where nothing was ever heard. */
function roundedAge(ageMs: number): number | undefined {
  return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
}
