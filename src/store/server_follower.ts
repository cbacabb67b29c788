/** Follows the backend servers that are registered in the store. */

import type { InstanceId } from "../core/ids.ts";
import type { ColdServers } from "../core/servers/cold_servers.ts";
import type {
  DirectoryChange,
  LeavingServer,
  RemovalReason,
  ServerDirectory,
} from "../core/servers/server_directory.ts";
import type {
  ServerIncarnationKey,
  ServerRecord,
} from "../core/servers/server_record.ts";
import { describeDecodeError } from "../platform/decode_error.ts";
import type { ObjectStore, StoredObject } from "../platform/object_store.ts";
import {
  decodeServer,
  normalizeServer,
  SERVER_KIND,
} from "../platform/server_wire.ts";
import type { Clock } from "../runtime/clock.ts";
import { BurstLog } from "../runtime/burst_log.ts";
import type { Logger } from "../runtime/logger.ts";
import { KindFollower } from "./kind_follower.ts";
import type { KindListener } from "./kind_listener.ts";
import type { SeenRevisions } from "./seen_revisions.ts";
import type { StoreEraMonitor } from "./store_era_monitor.ts";
import type { StoreHealthMonitor } from "./store_health_monitor.ts";

/** Interval of the check for servers that were not listed again after an outage of the store. */
const EXPIRY_INTERVAL_MS = 250;

/**
 * How long an entry of a restored store is held back whose state was superseded. Longer than the
 * store keeps the entry of a silent server, and than a living one takes to write its entry again.
 * Entries that the store lacks are kept by the directory as after an outage.
 */
const RESTORE_HOLD = { outdatedMs: 5_000, lostMs: 0 };

/** Called with a server that gets no new work any more, and the reason. */
export type RemovalListener = (
  server: ServerRecord,
  reason: RemovalReason,
) => void;

interface Deps {
  readonly objectStore: ObjectStore;
  readonly storeHealth: StoreHealthMonitor;
  readonly storeEraMonitor: StoreEraMonitor;
  readonly seenRevisions: SeenRevisions;
  readonly serverDirectory: ServerDirectory;
  readonly coldServers: ColdServers;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly chance: () => number;
}

/** Applies the registered servers to the server directory. */
export class ServerFollower implements KindListener {
  readonly #deps: Deps;
  /** Follower of the kind, whose changes are exchanged with other VMs. */
  readonly follower: KindFollower;
  readonly #listeners: RemovalListener[] = [];
  readonly #changeLog = new BurstLog<DirectoryChange>({
    logOne: (change) => this.#logOne(change),
    logMany: (changes) => this.#logMany(changes),
  });
  readonly #coldLog = new BurstLog<ServerRecord>({
    logOne: (server) => this.#logCold([server]),
    logMany: (servers) => this.#logCold(servers),
  });
  /** Servers whose current entries cannot be decoded. */
  readonly #undecodable = new Set<InstanceId>();
  #timer: NodeJS.Timeout | undefined;

  constructor(deps: Deps) {
    this.#deps = deps;
    this.follower = new KindFollower(deps, {
      kind: SERVER_KIND,
      normalize: normalizeServer,
      listener: this,
      restoreHold: RESTORE_HOLD,
    });
    deps.storeEraMonitor.onRestored(() => {
      deps.storeHealth.recordRestore();
      deps.serverDirectory.keepDraining();
    });
  }

  start(): void {
    this.follower.start();
    const { serverDirectory } = this.#deps;
    this.#timer = setInterval(
      () => this.#report(serverDirectory.removeExpired(this.#expiryContext())),
      EXPIRY_INTERVAL_MS,
    );
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#changeLog.flush();
    this.#coldLog.flush();
    this.follower.stop();
  }

  /** Registers a listener for servers that get no new work any more. */
  onRemoved(listener: RemovalListener): void {
    this.#listeners.push(listener);
  }

  /** Number of entries that cannot be decoded. */
  get unreadableEntries(): number {
    return this.#undecodable.size;
  }

  /** Records that a server has announced to this or another VM that it is leaving. */
  leaves(server: ServerIncarnationKey): void {
    this.#report(this.#deps.serverDirectory.markLeaving(server));
  }

  /** Server incarnations that have announced that they are leaving. */
  leavingLives(): LeavingServer[] {
    return this.#deps.serverDirectory.leavingServers();
  }

  /** Records that another server answers at the address of this one. */
  markMisdirected(instance: InstanceId): void {
    this.#report(this.#deps.serverDirectory.misdirected(instance));
  }

  listed(objects: readonly StoredObject[]): void {
    const listed = new Set(objects.map(({ name }) => name as InstanceId));
    for (const instance of this.#undecodable) {
      if (!listed.has(instance)) this.#undecodable.delete(instance);
    }
    const records = objects.flatMap((object) => this.#decode(object));
    for (const record of records) this.#recordCold(record);
    const { serverDirectory } = this.#deps;
    this.#report(serverDirectory.replaceAll(records, this.#expiryContext()));
  }

  changed(object: StoredObject): void {
    for (const record of this.#decode(object)) {
      this.#recordCold(record);
      this.#report(this.#deps.serverDirectory.put(record));
    }
  }

  deleted(object: StoredObject): void {
    const instance = object.name as InstanceId;
    this.#undecodable.delete(instance);
    this.#report(
      this.#deps.serverDirectory.remove(instance, this.#expiryContext()),
    );
  }

  #recordCold(record: ServerRecord): void {
    const { coldServers, clock } = this.#deps;
    const { instance, coldForMs: leftMs } = record;
    const nowMs = clock.monotonicMs();
    if (!coldServers.markCold(instance, { leftMs, nowMs })) return;
    this.#coldLog.add([record]);
  }

  #expiryContext() {
    const { storeHealth, clock } = this.#deps;
    return { health: storeHealth.health, nowMs: clock.monotonicMs() };
  }

  #decode(object: StoredObject): ServerRecord[] {
    const instance = object.name as InstanceId;
    const decoded = decodeServer(object.name, object.spec);
    if (decoded.ok) {
      this.#undecodable.delete(instance);
      return [decoded.value];
    }
    this.#report(this.#deps.serverDirectory.markUnreadable(instance));
    // Logged once: another writer may write the entry repeatedly.
    if (this.#undecodable.has(instance)) return [];
    this.#undecodable.add(instance);
    this.#deps.logger.warn("Server entry could not be decoded", {
      entry: object.name,
      reason: describeDecodeError(decoded.error),
    });
    return [];
  }

  #report(changes: readonly DirectoryChange[]): void {
    this.#changeLog.add(changes);
    for (const change of changes) {
      if (change.tag !== "removed") continue;
      const { server, reason } = change;
      for (const listener of this.#listeners) listener(server, reason);
    }
  }

  #logCold(servers: readonly ServerRecord[]): void {
    this.#deps.logger.info("Servers are cold", {
      servers: servers.map(({ instance }) => instance).join(","),
      service: servers[0]?.service,
      data_centre: servers[0]?.dataCentre,
      longest_ms: Math.max(...servers.map(({ coldForMs }) => coldForMs)),
    });
  }

  #logOne(change: DirectoryChange): void {
    this.#deps.logger.info("Server list changed", {
      change: change.tag,
      reason: change.tag === "removed" ? change.reason : undefined,
      server: change.server.instance,
      service: change.server.service,
      release: change.server.release,
      state: change.server.state,
    });
  }

  #logMany(changes: readonly DirectoryChange[]): void {
    const namesOf = (tag: DirectoryChange["tag"]) =>
      changes.filter((change) => change.tag === tag).map(describeChange).join(
        ",",
      );
    this.#deps.logger.info("Many servers changed", {
      changes: changes.length,
      added: namesOf("added"),
      lapsed: namesOf("lapsed"),
      removed: namesOf("removed"),
    });
  }
}

function describeChange(change: DirectoryChange): string {
  const { instance, service, release, state } = change.server;
  const reason = change.tag === "removed" ? change.reason : state;
  return `${instance} ${service} ${release} ${reason}`;
}
