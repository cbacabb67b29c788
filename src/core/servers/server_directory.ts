/** Directory of backend servers, as listed in the platform's store; the list lags behind. */

import type { DataCentreId, InstanceId, ServiceId } from "../ids.ts";
import {
  isLaterIncarnation,
  type ServerIncarnationKey,
  type ServerRecord,
} from "./server_record.ts";

/**
 * How long a server whose entry vanished around an outage of the store is still used after the
 * store has recovered, in milliseconds. Running servers are specified to list themselves again
 * within about two seconds.
 */
export const RELISTING_GRACE_MS = 2_000;
/** Leaving incarnations that are kept, oldest evicted first; far more than leave in a day. */
const MAX_LEAVING_SERVERS = 10_000;

/** Why a server gets no more new work. */
export type RemovalReason =
  | "draining"
  /** The server announced in an answer that it is about to leave. */
  | "leaving"
  /** The server has restarted under the same id. */
  | "restarted"
  | "left"
  /** The entry of the server can no longer be decoded. */
  | "unreadable"
  | "not_listed_again"
  | "misdirected";

/** A change of the directory, for logs. */
export type DirectoryChange =
  | { readonly tag: "added"; readonly server: ServerRecord }
  | { readonly tag: "lapsed"; readonly server: ServerRecord }
  | {
    readonly tag: "removed";
    readonly server: ServerRecord;
    readonly reason: RemovalReason;
  };

interface Entry {
  record: ServerRecord;
  /** Whether the entry is missing, presumably because of an outage of the store. */
  isMissing: boolean;
  /** Whether another instance answered at its address; used again once the entry is renewed. */
  isMisdirected: boolean;
}

/** Availability of the store, which may explain missing entries. */
export interface StoreHealth {
  /** Whether calls to the store succeed now. */
  readonly reachable: boolean;
  /** When the store last recovered, by the monotonic clock; undefined if it was never unreachable. */
  readonly recoveredAtMs: number | undefined;
}

/** An incarnation of a server that has announced that it is leaving. */
export interface LeavingServer {
  readonly instance: InstanceId;
  readonly bornMs: number;
}

/** All known servers. */
export class ServerDirectory {
  readonly #entries = new Map<InstanceId, Entry>();
  readonly #evacuated = new Set<DataCentreId>();
  /**
   * Incarnations that have announced that they are leaving. Kept apart from the entries, as the lagging
   * list may show such a server as ready for long, drop it and show it again.
   */
  readonly #leaving = new Map<InstanceId, ServerIncarnationKey>();
  #byService = new Map<ServiceId, ServerRecord[]>();

  /** Returns the servers of a service that take new work. */
  usable(service: ServiceId): readonly ServerRecord[] {
    return this.#byService.get(service) ?? [];
  }

  /** Number of distinct addresses of the servers of a service, whether or not they take new work. */
  addressCountOf(service: ServiceId): number {
    const addresses = [...this.#entries.values()]
      .filter(({ record }) => record.service === service)
      .map(({ record }) => record.address);
    return new Set(addresses).size;
  }

  /** Returns a server, whether or not it takes new work. */
  get(instance: InstanceId): ServerRecord | undefined {
    return this.#entries.get(instance)?.record;
  }

  /** Whether a server takes new work now. */
  isUsable(instance: InstanceId): boolean {
    const entry = this.#entries.get(instance);
    return entry !== undefined && this.#acceptsWork(entry);
  }

  /** Data centres whose servers get no new work, whatever their own state is. */
  get evacuated(): ReadonlySet<DataCentreId> {
    return this.#evacuated;
  }

  /** Returns the servers of a data centre, whether or not they take new work. */
  serversIn(dataCentre: DataCentreId): ServerRecord[] {
    return [...this.#entries.values()]
      .map(({ record }) => record)
      .filter((record) => record.dataCentre === dataCentre);
  }

  /**
   * Sets whether a data centre is evacuated, so that its servers get no new work; running requests
   * continue. Returns whether this is a change.
   */
  setEvacuated(dataCentre: DataCentreId, evacuated: boolean): boolean {
    if (this.#evacuated.has(dataCentre) === evacuated) return false;
    if (evacuated) this.#evacuated.add(dataCentre);
    else this.#evacuated.delete(dataCentre);
    this.#rebuildIndex();
    return true;
  }

  /** Number of known servers. */
  get size(): number {
    return this.#entries.size;
  }

  /** Adds or updates the entry of one server. */
  put(listed: ServerRecord): DirectoryChange[] {
    const entry = this.#entries.get(listed.instance);
    // A stale read or another VM may deliver the entry of an earlier incarnation late.
    if (entry !== undefined && isLaterIncarnation(entry.record, listed)) {
      return [];
    }
    const record = { ...listed, bornMs: listed.bornMs ?? entry?.record.bornMs };
    this.#entries.set(record.instance, {
      record,
      isMissing: false,
      isMisdirected: false,
    });
    this.#rebuildIndex();
    if (entry === undefined) return [{ tag: "added", server: record }];
    if (isLaterIncarnation(record, entry.record)) {
      return [
        { tag: "removed", server: entry.record, reason: "restarted" },
        { tag: "added", server: record },
      ];
    }
    if (entry.record.state === "ready" && record.state === "draining") {
      return [{ tag: "removed", server: record, reason: "draining" }];
    }
    return [];
  }

  /** Records that the entry of a server has vanished from the list. */
  remove(
    instance: InstanceId,
    { health, nowMs }: { health: StoreHealth; nowMs: number },
  ): DirectoryChange[] {
    const entry = this.#entries.get(instance);
    if (entry === undefined || entry.isMissing) return [];
    if (entry.record.state === "ready" && mayBeListedAgain(health, nowMs)) {
      entry.isMissing = true;
      return [{ tag: "lapsed", server: entry.record }];
    }
    return this.#removeEntry(entry, "left");
  }

  /**
   * Records that the entry of a server can no longer be decoded. The server is removed immediately,
   * without the grace period for entries that are missing after an outage.
   */
  markUnreadable(instance: InstanceId): DirectoryChange[] {
    const entry = this.#entries.get(instance);
    return entry === undefined ? [] : this.#removeEntry(entry, "unreadable");
  }

  /** Replaces all entries by a complete list. */
  replaceAll(
    records: readonly ServerRecord[],
    at: { health: StoreHealth; nowMs: number },
  ): DirectoryChange[] {
    const listed = new Set(records.map((record) => record.instance));
    const missing = [...this.#entries.keys()].filter((id) => !listed.has(id));
    return [
      ...records.flatMap((record) => this.put(record)),
      ...missing.flatMap((id) => this.remove(id, at)),
    ];
  }

  /** Removes servers that were not listed again within `RELISTING_GRACE_MS`. */
  removeExpired(
    { health, nowMs }: { health: StoreHealth; nowMs: number },
  ): DirectoryChange[] {
    if (mayBeListedAgain(health, nowMs)) return [];
    return [...this.#entries.values()]
      .filter((entry) => entry.isMissing)
      .flatMap((entry) => this.#removeEntry(entry, "not_listed_again"));
  }

  /**
   * Records that a server has announced that it is leaving. This incarnation gets no more new work,
   * whatever its entry says; running requests continue.
   */
  markLeaving({ instance, bornMs }: ServerIncarnationKey): DirectoryChange[] {
    const entry = this.#entries.get(instance);
    if (entry !== undefined && isLaterIncarnation(entry.record, { bornMs })) {
      return [];
    }
    const leaving = this.#leaving.get(instance);
    if (leaving !== undefined && !isLaterIncarnation({ bornMs }, leaving)) {
      return [];
    }
    this.#leaving.set(instance, { instance, bornMs });
    this.#evictOldestLeaving();
    if (entry === undefined) return [];
    this.#rebuildIndex();
    return [{ tag: "removed", server: entry.record, reason: "leaving" }];
  }

  /**
   * Keeps servers from getting new work for the rest of their lives whose entries say that they are
   * draining: a restored store may show such an entry as ready again.
   */
  keepDraining(): void {
    for (const { record } of this.#entries.values()) {
      if (record.state !== "draining") continue;
      const { instance, bornMs } = record;
      this.#leaving.set(instance, { instance, bornMs });
    }
    this.#evictOldestLeaving();
  }

  /**
   * Returns the known servers that have announced that they are leaving. Servers without a start time
   * are left out, as they cannot be distinguished from later incarnations with the same id.
   */
  leavingServers(): LeavingServer[] {
    return [...this.#leaving.values()].flatMap(({ instance, bornMs }) =>
      bornMs === undefined || !this.#entries.has(instance)
        ? []
        : [{ instance, bornMs }]
    );
  }

  /** Records that another server answers at the address of this one. */
  misdirected(instance: InstanceId): DirectoryChange[] {
    const entry = this.#entries.get(instance);
    if (entry === undefined || entry.isMisdirected) return [];
    entry.isMisdirected = true;
    this.#rebuildIndex();
    return [{ tag: "removed", server: entry.record, reason: "misdirected" }];
  }

  #acceptsWork({ record, isMisdirected }: Entry): boolean {
    return record.state === "ready" && !isMisdirected &&
      !this.#evacuated.has(record.dataCentre) && !this.#isLeaving(record);
  }

  #isLeaving(record: ServerRecord): boolean {
    const leaving = this.#leaving.get(record.instance);
    return leaving !== undefined && !isLaterIncarnation(record, leaving);
  }

  #evictOldestLeaving(): void {
    for (const oldest of this.#leaving.keys()) {
      if (this.#leaving.size <= MAX_LEAVING_SERVERS) return;
      this.#leaving.delete(oldest);
    }
  }

  #removeEntry(entry: Entry, reason: RemovalReason): DirectoryChange[] {
    const { instance } = entry.record;
    this.#entries.delete(instance);
    // Without a start time, a later incarnation cannot be distinguished from the one that left.
    if (this.#leaving.get(instance)?.bornMs === undefined) {
      this.#leaving.delete(instance);
    }
    this.#rebuildIndex();
    return [{ tag: "removed", server: entry.record, reason }];
  }

  #rebuildIndex(): void {
    this.#byService = new Map();
    for (const entry of this.#entries.values()) {
      if (!this.#acceptsWork(entry)) continue;
      const { record } = entry;
      const servers = this.#byService.get(record.service) ?? [];
      servers.push(record);
      this.#byService.set(record.service, servers);
    }
  }
}

function mayBeListedAgain(health: StoreHealth, nowMs: number): boolean {
  if (!health.reachable) return true;
  const { recoveredAtMs } = health;
  return recoveredAtMs !== undefined &&
    nowMs - recoveredAtMs < RELISTING_GRACE_MS;
}
