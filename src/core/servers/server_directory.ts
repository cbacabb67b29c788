/** Which backend servers there are, by the lagging list in the platform's store. */

import type { DataCentreId, InstanceId, ServiceId } from "../ids.ts";
import {
  isLaterIncarnation,
  type ServerIncarnationKey,
  type ServerRecord,
} from "./server_record.ts";

/**
 * How long a server that vanished from the list around an outage of the store is still
 * used after the store is back, in milliseconds. Servers that live write themselves
 * down again within about two seconds, as the users promise.
 */
export const RELISTING_GRACE_MS = 2_000;
/** Leaving lives that are kept; the oldest are forgotten first. Far more than leave in a day. */
const MOST_LEAVING = 10_000;

/** Why a server gets no new work any more. */
export type RemovalReason =
  | "draining"
  /** Has said in an answer that it is about to leave. */
  | "leaving"
  /** Its process has started again under the same id. */
  | "restarted"
  | "left"
  /** Its entry no longer names a server. */
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

interface Row {
  record: ServerRecord;
  /** Set while the entry is missing because of an outage of the store. */
  lapsed: boolean;
  /** Answered as another instance; used again only once the list renews it. */
  misdirected: boolean;
}

/** State of the connection to the store, as far as it explains missing entries. */
export interface StoreHealth {
  /** Whether calls of the store work now. */
  readonly reachable: boolean;
  /** When the store last came back, by the monotonic clock; undefined if it never left. */
  readonly recoveredAtMs: number | undefined;
}

/** A life of a server that has said that it leaves. */
export interface LeavingServer {
  readonly instance: InstanceId;
  readonly bornMs: number;
}

/** All known servers. */
export class ServerDirectory {
  readonly #rows = new Map<InstanceId, Row>();
  readonly #evacuated = new Set<DataCentreId>();
  /**
   * Lives that have said that they leave. Kept apart from rows: a list that lags may name such a
   * server as ready for long, drop it and name it again.
   */
  readonly #leaving = new Map<InstanceId, ServerIncarnationKey>();
  #byService = new Map<ServiceId, ServerRecord[]>();

  /** Servers of a service that take new work. */
  usable(service: ServiceId): readonly ServerRecord[] {
    return this.#byService.get(service) ?? [];
  }

  /** Number of addresses at which a service has servers, whether or not they take new work. */
  addressCountOf(service: ServiceId): number {
    const addresses = [...this.#rows.values()]
      .filter(({ record }) => record.service === service)
      .map(({ record }) => record.address);
    return new Set(addresses).size;
  }

  /** Returns a server whether or not it takes new work. */
  get(instance: InstanceId): ServerRecord | undefined {
    return this.#rows.get(instance)?.record;
  }

  /** Whether a server takes new work now. */
  isUsable(instance: InstanceId): boolean {
    const row = this.#rows.get(instance);
    return row !== undefined && this.#takesWork(row);
  }

  /** Data centres whose servers get no new work, whatever their own state. */
  get evacuated(): ReadonlySet<DataCentreId> {
    return this.#evacuated;
  }

  /** Servers of a data centre, whether or not they take new work. */
  serversIn(dataCentre: DataCentreId): ServerRecord[] {
    return [...this.#rows.values()]
      .map(({ record }) => record)
      .filter((record) => record.dataCentre === dataCentre);
  }

  /**
   * Keeps new work from the servers of a data centre, or gives it to them again. What runs
   * there goes on. Returns whether that is a change.
   */
  setEvacuated(dataCentre: DataCentreId, evacuated: boolean): boolean {
    if (this.#evacuated.has(dataCentre) === evacuated) return false;
    if (evacuated) this.#evacuated.add(dataCentre);
    else this.#evacuated.delete(dataCentre);
    this.#rebuild();
    return true;
  }

  /** Number of servers that are known. */
  get size(): number {
    return this.#rows.size;
  }

  /** Takes in the entry of one server. */
  put(told: ServerRecord): DirectoryChange[] {
    const row = this.#rows.get(told.instance);
    // News of an earlier life may come late, by a stale read or another VM.
    if (row !== undefined && isLaterIncarnation(row.record, told)) return [];
    const record = { ...told, bornMs: told.bornMs ?? row?.record.bornMs };
    this.#rows.set(record.instance, {
      record,
      lapsed: false,
      misdirected: false,
    });
    this.#rebuild();
    if (row === undefined) return [{ tag: "added", server: record }];
    if (isLaterIncarnation(record, row.record)) {
      return [
        { tag: "removed", server: row.record, reason: "restarted" },
        { tag: "added", server: record },
      ];
    }
    if (row.record.state === "ready" && record.state === "draining") {
      return [{ tag: "removed", server: record, reason: "draining" }];
    }
    return [];
  }

  /** Notes that the entry of a server is gone from the list. */
  remove(
    instance: InstanceId,
    { health, nowMs }: { health: StoreHealth; nowMs: number },
  ): DirectoryChange[] {
    const row = this.#rows.get(instance);
    if (row === undefined || row.lapsed) return [];
    if (row.record.state === "ready" && mayBeRelisted(health, nowMs)) {
      row.lapsed = true;
      return [{ tag: "lapsed", server: row.record }];
    }
    return this.#drop(row, "left");
  }

  /**
   * Notes that the entry of a server is there, but no longer names one. Unlike one that is
   * missing after an outage, it is not waited for.
   */
  markUnreadable(instance: InstanceId): DirectoryChange[] {
    const row = this.#rows.get(instance);
    return row === undefined ? [] : this.#drop(row, "unreadable");
  }

  /** Takes in the whole list. */
  replaceAll(
    records: readonly ServerRecord[],
    at: { health: StoreHealth; nowMs: number },
  ): DirectoryChange[] {
    const listed = new Set(records.map((record) => record.instance));
    const missing = [...this.#rows.keys()].filter((id) => !listed.has(id));
    return [
      ...records.flatMap((record) => this.put(record)),
      ...missing.flatMap((id) => this.remove(id, at)),
    ];
  }

  /** Gives up on servers that were not listed again in time. */
  removeExpired(
    { health, nowMs }: { health: StoreHealth; nowMs: number },
  ): DirectoryChange[] {
    if (mayBeRelisted(health, nowMs)) return [];
    return [...this.#rows.values()]
      .filter((row) => row.lapsed)
      .flatMap((row) => this.#drop(row, "not_listed_again"));
  }

  /**
   * Notes that a server has said that it leaves. It gets no new work in this life any more,
   * whatever its entry says; what runs there goes on.
   */
  markLeaving({ instance, bornMs }: ServerIncarnationKey): DirectoryChange[] {
    const row = this.#rows.get(instance);
    if (row !== undefined && isLaterIncarnation(row.record, { bornMs })) {
      return [];
    }
    const said = this.#leaving.get(instance);
    if (said !== undefined && !isLaterIncarnation({ bornMs }, said)) return [];
    this.#leaving.set(instance, { instance, bornMs });
    this.#boundLeaving();
    if (row === undefined) return [];
    this.#rebuild();
    return [{ tag: "removed", server: row.record, reason: "leaving" }];
  }

  /**
   * Lives of known servers that have said that they leave. One without a birth is not told of:
   * it could not be told from what comes under its id later.
   */
  leavingServers(): LeavingServer[] {
    return [...this.#leaving.values()].flatMap(({ instance, bornMs }) =>
      bornMs === undefined || !this.#rows.has(instance)
        ? []
        : [{ instance, bornMs }]
    );
  }

  /** Notes that another server answers at the address. */
  misdirected(instance: InstanceId): DirectoryChange[] {
    const row = this.#rows.get(instance);
    if (row === undefined || row.misdirected) return [];
    row.misdirected = true;
    this.#rebuild();
    return [{ tag: "removed", server: row.record, reason: "misdirected" }];
  }

  #takesWork({ record, misdirected }: Row): boolean {
    return record.state === "ready" && !misdirected &&
      !this.#evacuated.has(record.dataCentre) && !this.#isLeaving(record);
  }

  #isLeaving(record: ServerRecord): boolean {
    const said = this.#leaving.get(record.instance);
    return said !== undefined && !isLaterIncarnation(record, said);
  }

  #boundLeaving(): void {
    const [oldest] = this.#leaving.keys();
    if (this.#leaving.size <= MOST_LEAVING || oldest === undefined) return;
    this.#leaving.delete(oldest);
  }

  #drop(row: Row, reason: RemovalReason): DirectoryChange[] {
    const { instance } = row.record;
    this.#rows.delete(instance);
    // Without a birth, nothing tells what comes under this id from what has left.
    if (this.#leaving.get(instance)?.bornMs === undefined) {
      this.#leaving.delete(instance);
    }
    this.#rebuild();
    return [{ tag: "removed", server: row.record, reason }];
  }

  #rebuild(): void {
    this.#byService = new Map();
    for (const row of this.#rows.values()) {
      if (!this.#takesWork(row)) continue;
      const { record } = row;
      const servers = this.#byService.get(record.service) ?? [];
      servers.push(record);
      this.#byService.set(record.service, servers);
    }
  }
}

function mayBeRelisted(health: StoreHealth, nowMs: number): boolean {
  if (!health.reachable) return true;
  const { recoveredAtMs } = health;
  return recoveredAtMs !== undefined &&
    nowMs - recoveredAtMs < RELISTING_GRACE_MS;
}
