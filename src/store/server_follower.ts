/** Follows the list of backend servers. */

import type { InstanceId } from "../core/ids.ts";
import type { ColdServers } from "../core/servers/cold_servers.ts";
import type {
  DirectoryChange,
  LeavingServer,
  ServerDirectory,
} from "../core/servers/server_directory.ts";
import type {
  ServerIncarnationKey,
  ServerRecord,
} from "../core/servers/server_record.ts";
import { describeDecodeError } from "../platform/decode_error.ts";
import type { ObjectStore, StoredObject } from "../platform/object_store.ts";
import { decodeServer, SERVER_KIND } from "../platform/server_wire.ts";
import type { Clock } from "../runtime/clock.ts";
import { BurstLog } from "../runtime/burst_log.ts";
import type { Logger } from "../runtime/logger.ts";
import { KindFollower } from "./kind_follower.ts";
import type { KindListener } from "./kind_listener.ts";
import type { SeenRevisions } from "./seen_revisions.ts";
import type { StoreHealthKeeper } from "./store_health.ts";

/** Time between looks for servers that were not listed again. */
const EXPIRY_INTERVAL_MS = 250;

/** Called when servers get no new work any more. */
export type RemovalListener = (server: ServerRecord) => void;

interface Deps {
  readonly objectStore: ObjectStore;
  readonly storeHealth: StoreHealthKeeper;
  readonly seenRevisions: SeenRevisions;
  readonly serverDirectory: ServerDirectory;
  readonly coldServers: ColdServers;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly chance: () => number;
}

/** Keeps the directory of servers true to the list. */
export class ServerFollower implements KindListener {
  readonly #deps: Deps;
  /** Its copy of the kind, to exchange with other VMs. */
  readonly follower: KindFollower;
  readonly #listeners: RemovalListener[] = [];
  readonly #news = new BurstLog<DirectoryChange>({
    logOne: (change) => this.#logOne(change),
    logMany: (changes) => this.#logMany(changes),
  });
  readonly #coldNews = new BurstLog<ServerRecord>({
    logOne: (server) => this.#logCold([server]),
    logMany: (servers) => this.#logCold(servers),
  });
  /** Servers whose entries name none at present. */
  readonly #unreadable = new Set<InstanceId>();
  #timer: NodeJS.Timeout | undefined;

  constructor(deps: Deps) {
    this.#deps = deps;
    this.follower = new KindFollower(deps, {
      kind: SERVER_KIND,
      listener: this,
    });
  }

  /** Starts to follow. */
  start(): void {
    this.follower.start();
    const { serverDirectory } = this.#deps;
    this.#timer = setInterval(
      () => this.#note(serverDirectory.removeExpired(this.#at())),
      EXPIRY_INTERVAL_MS,
    );
  }

  /** Stops to follow. */
  stop(): void {
    clearInterval(this.#timer);
    this.#news.flush();
    this.#coldNews.flush();
    this.follower.stop();
  }

  /** Registers a listener for servers that get no new work any more. */
  onRemoved(listener: RemovalListener): void {
    this.#listeners.push(listener);
  }

  /** Number of entries that name no server. */
  get unreadable(): number {
    return this.#unreadable.size;
  }

  /** Notes that a server has said in an answer, here or to another VM, that it leaves. */
  leaves(life: ServerIncarnationKey): void {
    this.#note(this.#deps.serverDirectory.markLeaving(life));
  }

  /** Lives of servers that have said that they leave. */
  leavingLives(): LeavingServer[] {
    return this.#deps.serverDirectory.leavingServers();
  }

  /** Notes that another server answers at the address of this one. */
  misdirected(instance: InstanceId): void {
    this.#note(this.#deps.serverDirectory.misdirected(instance));
  }

  listed(objects: readonly StoredObject[]): void {
    const listed = new Set(objects.map(({ name }) => name as InstanceId));
    for (const instance of this.#unreadable) {
      if (!listed.has(instance)) this.#unreadable.delete(instance);
    }
    const records = objects.flatMap((object) => this.#decode(object));
    for (const record of records) this.#noteCold(record);
    const { serverDirectory } = this.#deps;
    this.#note(serverDirectory.replaceAll(records, this.#at()));
  }

  changed(object: StoredObject): void {
    for (const record of this.#decode(object)) {
      this.#noteCold(record);
      this.#note(this.#deps.serverDirectory.put(record));
    }
  }

  deleted(object: StoredObject): void {
    const instance = object.name as InstanceId;
    this.#unreadable.delete(instance);
    this.#note(this.#deps.serverDirectory.remove(instance, this.#at()));
  }

  #noteCold(record: ServerRecord): void {
    const { coldServers, clock } = this.#deps;
    const { instance, coldForMs: leftMs } = record;
    const nowMs = clock.monotonicMs();
    if (!coldServers.markCold(instance, { leftMs, nowMs })) return;
    this.#coldNews.add([record]);
  }

  #at() {
    const { storeHealth, clock } = this.#deps;
    return { health: storeHealth.health, nowMs: clock.monotonicMs() };
  }

  #decode(object: StoredObject): ServerRecord[] {
    const instance = object.name as InstanceId;
    const decoded = decodeServer(object.name, object.spec);
    if (decoded.ok) {
      this.#unreadable.delete(instance);
      return [decoded.value];
    }
    this.#note(this.#deps.serverDirectory.markUnreadable(instance));
    // Another writer may write it again and again.
    if (this.#unreadable.has(instance)) return [];
    this.#unreadable.add(instance);
    this.#deps.logger.warn("Entry names no server", {
      entry: object.name,
      reason: describeDecodeError(decoded.error),
    });
    return [];
  }

  #note(changes: readonly DirectoryChange[]): void {
    this.#news.add(changes);
    for (const change of changes) {
      if (change.tag !== "removed") continue;
      for (const listener of this.#listeners) listener(change.server);
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
      changes.filter((change) => change.tag === tag).map(describe).join(",");
    this.#deps.logger.info("Many servers changed", {
      changes: changes.length,
      added: namesOf("added"),
      lapsed: namesOf("lapsed"),
      removed: namesOf("removed"),
    });
  }
}

function describe(change: DirectoryChange): string {
  const { instance, service, release, state } = change.server;
  const why = change.tag === "removed" ? change.reason : state;
  return `${instance} ${service} ${release} ${why}`;
}
