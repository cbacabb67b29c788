/** Whether this VM is a relay or reads the store, which VMs do, and who of them answers. */

import {
  fleetRelays,
  isMesh,
  rankReaders,
  type ReaderRanks,
  storeReaders,
} from "../core/membership/fleet_relays.ts";
import type { Member } from "../core/membership/member.ts";
import type { MemberTable } from "../core/membership/member_table.ts";
import type { UnitHash } from "../core/routing/version_choice.ts";
import type { EntryId } from "../core/ids.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";
import { readsStore, type StoreAccess } from "../store/store_access.ts";
import type { StoreSync } from "../store/store_sync.ts";

/**
 * A VM that has heard no relay in touch with the store for this long asks the store
 * itself: two questions, and within the seconds in which changes must be in force.
 */
const RELAY_PATIENCE_MS = 1_800;
/**
 * A relay asks the store itself once the newest confirmation by a reader is older than
 * this, in milliseconds. Readers confirm every 1.4 to 1.7 s and tell at once; a change that no
 * reader hears of is then in force on relays after this time, and on their followers 0.8 s
 * later.
 */
const READER_PATIENCE_MS = 2_100;
/** A VM that told that it has lost the store is no reader for this long, unless it tells otherwise. */
const LOST_STORE_MS = 5_000;
/**
 * A VM that is a reader no more reads on for this long, until the others have heard of its
 * successor: two questions between a pair of relays.
 */
const READER_LINGER_MS = 2_000;
/**
 * A VM whose relays answer, but are out of touch with the store, asks it itself only after
 * this: the store is then lost for relays of all data centres, and hardly there for others.
 */
const OUTAGE_PATIENCE_MS = 3_500;
/** A relay that failed is asked last for this long. */
const RELAY_AVOIDED_MS = 3_000;

/** What a question brought: an answer, or one of a relay in touch with the store. */
export type Asked = "silent" | "answered" | "in_touch";

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
  /** Kept while members stay: to rank a large fleet in each round costs a VM processor time. */
  #ranks: ReaderRanks | undefined;
  /** Other relays by rank, and followers of this one, kept for the same reason. */
  #byRank: readonly Member[] | undefined;
  #followers: ReadonlySet<EntryId> | undefined;
  #readers: Member[] = [];
  #readAtMs = -Infinity;
  #heardAtMs = -Infinity;
  #answeredAtMs = -Infinity;
  readonly #lostStoreAtMs = new Map<EntryId, number>();
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

  /** Notes whether the store answers another VM, as that VM tells. */
  heardStore(vm: EntryId, { lost }: { lost: boolean }): void {
    const nowMs = this.#deps.clock.monotonicMs();
    if (lost) this.#lostStoreAtMs.set(vm, nowMs);
    else this.#lostStoreAtMs.delete(vm);
  }

  /** VMs that read the store for all others, in order of rank. */
  get readers(): readonly EntryId[] {
    this.#refresh();
    return this.#readers.map(({ id }) => id);
  }

  /** Whether a VM, this one included, tells that the store does not answer it. */
  hasLostStore(vm: EntryId): boolean {
    return vm === this.#deps.memberTable.self.id
      ? this.#deps.storeSync.storeLost
      : this.#lostStoreAtMs.has(vm);
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
    this.#byRank ??= this.#rankRelays();
    const nowMs = this.#deps.clock.monotonicMs();
    const failed = this.#byRank.filter(({ id }) =>
      this.#failedLately(id, nowMs)
    );
    const others = this.#byRank.filter((relay) => !failed.includes(relay));
    return [...others, ...failed];
  }

  #rankRelays(): Member[] {
    const { memberTable, unitHash } = this.#deps;
    const { self } = memberTable;
    return this.others()
      .map((relay) => ({
        relay,
        rank: unitHash(`${self.id}/${relay.id}`) +
          (relay.data_centre === self.data_centre ? 0 : 1),
      }))
      .sort((a, b) => a.rank - b.rank)
      .map(({ relay }) => relay);
  }

  /** Whether a VM of this data centre asks this relay before all others. */
  isFollower({ id }: Member): boolean {
    this.#refresh();
    this.#followers ??= this.#findFollowers();
    return this.#followers.has(id);
  }

  #findFollowers(): Set<EntryId> {
    const { memberTable, unitHash } = this.#deps;
    const { self } = memberTable;
    const relays = new Set(this.#here.map(({ id }) => id));
    const followers = memberTable.others().filter((member) => {
      if (member.data_centre !== self.data_centre) return false;
      if (relays.has(member.id)) return false;
      const rank = (relay: EntryId) => unitHash(`${member.id}/${relay}`);
      const own = rank(self.id);
      return [...relays].every((relay) => own <= rank(relay));
    });
    return new Set(followers.map(({ id }) => id));
  }

  /** Notes what a relay that was asked has brought. */
  heard(relay: EntryId, asked: Asked): void {
    const nowMs = this.#deps.clock.monotonicMs();
    if (asked !== "silent") this.#answeredAtMs = nowMs;
    if (asked !== "in_touch") {
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
    return readsStore(this.#deps.storeSync.access);
  }

  /** Brings up to date how this VM comes to know what the store holds. */
  update(): void {
    const { storeSync, clock, logger } = this.#deps;
    const nowMs = clock.monotonicMs();
    this.#refresh();
    this.#refreshReaders(nowMs);
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
    // A VM that has just started knows nobody and reads, but for nobody.
    if (this.reads && !this.#meshed) this.#readAtMs = nowMs;
    const lingers = !this.#deps.storeSync.storeLost &&
      nowMs - this.#readAtMs <= READER_LINGER_MS;
    if (this.reads || lingers) return "reader";
    const isHeard = this.held
      ? nowMs - this.#confirmedAtMs <= READER_PATIENCE_MS
      : nowMs - this.#heardAtMs <= this.#relayPatienceMs(nowMs);
    return isHeard ? "listener" : "stand_in";
  }

  #relayPatienceMs(nowMs: number): number {
    const answers = nowMs - this.#answeredAtMs <= RELAY_PATIENCE_MS;
    return answers ? OUTAGE_PATIENCE_MS : RELAY_PATIENCE_MS;
  }

  #refreshReaders(nowMs: number): void {
    const { memberTable, storeSync } = this.#deps;
    const { self } = memberTable;
    this.heardStore(self.id, { lost: storeSync.storeLost });
    for (const [vm, atMs] of this.#lostStoreAtMs) {
      if (nowMs - atMs > LOST_STORE_MS) this.#lostStoreAtMs.delete(vm);
    }
    if (this.#ranks === undefined) return;
    this.#readers = storeReaders(
      this.#ranks,
      (vm) => this.#lostStoreAtMs.has(vm),
    );
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
    this.#ranks = rankReaders(members, { unitHash });
    this.#byRank = undefined;
    this.#followers = undefined;
    this.#refreshReaders(this.#deps.clock.monotonicMs());
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
