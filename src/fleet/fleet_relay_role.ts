/** Determines which VMs are relays and which read the store, and tracks whether they respond. */

import {
  isFullMesh,
  rankReaders,
  type ReaderRanking,
  selectFleetRelays,
  selectStoreReaders,
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
 * A VM reads the store itself when no relay that is connected to the store has answered for this
 * long: the time of two requests, and within the seconds in which changes must take effect.
 */
const RELAY_TIMEOUT_MS = 1_800;
/**
 * A relay reads the store itself when the latest confirmation by a reader is older than this.
 * Readers confirm every 1.4 to 1.7 s and notify relays immediately. A change that no reader
 * receives thus takes effect on relays after this time, and on their followers 0.8 s later.
 */
const READER_CONFIRMATION_TIMEOUT_MS = 2_100;
/** A VM that reports a lost store is no reader for this long, unless it reports recovery. */
const STORE_LOSS_TTL_MS = 5_000;
/**
 * A VM that is no longer a reader keeps reading for this long, until the other VMs know its
 * successor: the time of two requests between a pair of relays.
 */
const READER_HANDOVER_MS = 2_000;
/**
 * A VM whose relays answer but are disconnected from the store reads the store itself only after
 * this time: the relays of all data centres have then lost the store, and other VMs can hardly
 * reach it either.
 */
const STORE_OUTAGE_TIMEOUT_MS = 3_500;
/** A relay that failed is tried last for this long. */
const FAILED_RELAY_PENALTY_MS = 3_000;

/** Outcome of a request: no answer, an answer, or an answer of a relay connected to the store. */
export type QueryOutcome = "silent" | "answered" | "in_touch";

interface Deps {
  readonly memberTable: MemberTable;
  readonly storeSync: StoreSync;
  readonly unitHash: UnitHash;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Derives the role of this VM from the current members; there is no election. */
export class FleetRelayRole {
  readonly #deps: Deps;
  readonly #failedAtMs = new Map<EntryId, number>();
  #seenChanges = -1;
  #fullMesh = true;
  #localRelays: Member[] = [];
  #remoteRelays: Member[] = [];
  /** Cached while the members are unchanged: ranking a large fleet in each round costs CPU time. */
  #ranks: ReaderRanking | undefined;
  /** Other relays by rank, and the followers of this relay; cached for the same reason. */
  #byRank: readonly Member[] | undefined;
  #followers: ReadonlySet<EntryId> | undefined;
  #readers: Member[] = [];
  #lastReaderAtMs = -Infinity;
  #relayConnectedAtMs = -Infinity;
  #relayAnsweredAtMs = -Infinity;
  readonly #storeLostAtMs = new Map<EntryId, number>();
  #readerConfirmedAtMs = -Infinity;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Whether this VM is a relay of its data centre. */
  get isRelay(): boolean {
    this.#refresh();
    return this.#isSelf(this.#localRelays);
  }

  /** Whether this VM reads the store for others. */
  get isReader(): boolean {
    this.#refresh();
    return this.#isSelf(this.#readers);
  }

  /** Records whether a VM reports that it has lost the store. */
  recordStoreStatus(vm: EntryId, { lost }: { lost: boolean }): void {
    const nowMs = this.#deps.clock.monotonicMs();
    if (lost) this.#storeLostAtMs.set(vm, nowMs);
    else this.#storeLostAtMs.delete(vm);
  }

  /** VMs that read the store on behalf of all others, in order of rank. */
  get readers(): readonly EntryId[] {
    this.#refresh();
    return this.#readers.map(({ id }) => id);
  }

  /** Whether a VM (this VM included) reports that the store does not answer it. */
  hasLostStore(vm: EntryId): boolean {
    return vm === this.#deps.memberTable.self.id
      ? this.#deps.storeSync.storeLost
      : this.#storeLostAtMs.has(vm);
  }

  /** Readers that this VM subscribes to: none, unless it is a relay of a large fleet. */
  readersToFollow(): Member[] {
    if (!this.isRelay || this.#fullMesh) return [];
    const { id: self } = this.#deps.memberTable.self;
    return this.#readers.filter(({ id }) => id !== self);
  }

  /** Whether all VMs exchange digests directly, without relays in between. */
  get isFullMesh(): boolean {
    this.#refresh();
    return this.#fullMesh;
  }

  /** Relays of all data centres, except this VM. */
  otherRelays(): Member[] {
    this.#refresh();
    return [...this.#localRelays, ...this.#remoteRelays].filter(({ id }) =>
      id !== this.#deps.memberTable.self.id
    );
  }

  /**
   * Relays in the order in which to try them: those of this data centre first, and those that
   * failed recently last. Among equals each VM has its own order, which spreads the load.
   */
  relaysByPreference(): Member[] {
    this.#refresh();
    this.#byRank ??= this.#rankRelays();
    const nowMs = this.#deps.clock.monotonicMs();
    const failed = this.#byRank.filter(({ id }) =>
      this.#failedRecently(id, nowMs)
    );
    const others = this.#byRank.filter((relay) => !failed.includes(relay));
    return [...others, ...failed];
  }

  #rankRelays(): Member[] {
    const { memberTable, unitHash } = this.#deps;
    const { self } = memberTable;
    return this.otherRelays()
      .map((relay) => ({
        relay,
        rank: unitHash(`${self.id}/${relay.id}`) +
          (relay.data_centre === self.data_centre ? 0 : 1),
      }))
      .sort((a, b) => a.rank - b.rank)
      .map(({ relay }) => relay);
  }

  /** Whether a VM of this data centre prefers this relay over all others. */
  isFollower({ id }: Member): boolean {
    this.#refresh();
    this.#followers ??= this.#findFollowers();
    return this.#followers.has(id);
  }

  #findFollowers(): Set<EntryId> {
    const { memberTable, unitHash } = this.#deps;
    const { self } = memberTable;
    const relays = new Set(this.#localRelays.map(({ id }) => id));
    const followers = memberTable.others().filter((member) => {
      if (member.data_centre !== self.data_centre) return false;
      if (relays.has(member.id)) return false;
      const rank = (relay: EntryId) => unitHash(`${member.id}/${relay}`);
      const own = rank(self.id);
      return [...relays].every((relay) => own <= rank(relay));
    });
    return new Set(followers.map(({ id }) => id));
  }

  /** Records the outcome of a request to a relay. */
  recordOutcome(relay: EntryId, outcome: QueryOutcome): void {
    const nowMs = this.#deps.clock.monotonicMs();
    if (outcome !== "silent") this.#relayAnsweredAtMs = nowMs;
    if (outcome !== "in_touch") {
      this.#failedAtMs.set(relay, nowMs);
      return;
    }
    this.#failedAtMs.delete(relay);
    this.#relayConnectedAtMs = nowMs;
  }

  /** Records that a reader confirmed the configuration at `atMs`. */
  recordReaderConfirmation(atMs: number): void {
    this.#readerConfirmedAtMs = Math.max(this.#readerConfirmedAtMs, atMs);
  }

  /** Whether this VM reads the store itself, for others or as a fallback. */
  get readsStore(): boolean {
    return readsStore(this.#deps.storeSync.access);
  }

  /** Updates how this VM obtains the contents of the store. */
  update(): void {
    const { storeSync, clock, logger } = this.#deps;
    const nowMs = clock.monotonicMs();
    this.#refresh();
    this.#refreshReaders(nowMs);
    const access = this.#accessAt(nowMs);
    const before = storeSync.access;
    if (access === before) return;
    storeSync.setAccess(access);
    logger.info("Store access mode changed", {
      access,
      before,
      relay: this.isRelay,
      relays: this.#localRelays.length,
      readers: this.#readers.map(({ id }) => id).join(","),
      relay_silent_ms: roundedAge(nowMs - this.#relayConnectedAtMs),
      reader_confirmed_ms: roundedAge(nowMs - this.#readerConfirmedAtMs),
    });
  }

  #accessAt(nowMs: number): StoreAccess {
    // A VM that has just started knows no other VM: it reads, but only for itself.
    if (this.isReader && !this.#fullMesh) this.#lastReaderAtMs = nowMs;
    const inHandover = !this.#deps.storeSync.storeLost &&
      nowMs - this.#lastReaderAtMs <= READER_HANDOVER_MS;
    if (this.isReader || inHandover) return "reader";
    const isCurrent = this.isRelay
      ? nowMs - this.#readerConfirmedAtMs <= READER_CONFIRMATION_TIMEOUT_MS
      : nowMs - this.#relayConnectedAtMs <= this.#relayTimeoutMs(nowMs);
    return isCurrent ? "listener" : "stand_in";
  }

  #relayTimeoutMs(nowMs: number): number {
    const answers = nowMs - this.#relayAnsweredAtMs <= RELAY_TIMEOUT_MS;
    return answers ? STORE_OUTAGE_TIMEOUT_MS : RELAY_TIMEOUT_MS;
  }

  #refreshReaders(nowMs: number): void {
    const { memberTable, storeSync } = this.#deps;
    const { self } = memberTable;
    this.recordStoreStatus(self.id, { lost: storeSync.storeLost });
    for (const [vm, atMs] of this.#storeLostAtMs) {
      if (nowMs - atMs > STORE_LOSS_TTL_MS) this.#storeLostAtMs.delete(vm);
    }
    if (this.#ranks === undefined) return;
    this.#readers = selectStoreReaders(
      this.#ranks,
      (vm) => this.#storeLostAtMs.has(vm),
    );
  }

  #refresh(): void {
    const { memberTable, unitHash } = this.#deps;
    if (memberTable.viewVersion === this.#seenChanges) return;
    this.#seenChanges = memberTable.viewVersion;
    const { self } = memberTable;
    const members = [self, ...memberTable.others()];
    const relaysOf = (dataCentre: string) =>
      selectFleetRelays(members, { dataCentre, unitHash });
    const dataCentres = new Set(members.map((member) => member.data_centre));
    dataCentres.delete(self.data_centre);
    this.#fullMesh = isFullMesh(members);
    this.#localRelays = relaysOf(self.data_centre);
    this.#remoteRelays = [...dataCentres].flatMap(relaysOf);
    this.#ranks = rankReaders(members, { unitHash });
    this.#byRank = undefined;
    this.#followers = undefined;
    this.#refreshReaders(this.#deps.clock.monotonicMs());
  }

  #isSelf(relays: readonly Member[]): boolean {
    const { id: self } = this.#deps.memberTable.self;
    return relays.some(({ id }) => id === self);
  }

  #failedRecently(id: EntryId, nowMs: number): boolean {
    const atMs = this.#failedAtMs.get(id);
    return atMs !== undefined && nowMs - atMs < FAILED_RELAY_PENALTY_MS;
  }
}

/** Returns undefined if the event has never occurred. */
function roundedAge(ageMs: number): number | undefined {
  return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
}
