/** Writes of operators and servers to the store, and faults of the store. */

import { performance } from "node:perf_hooks";
import {
  ObjectStoreStandin,
  type StoreFaults,
} from "../src/standins/object_store_standin.ts";
import type {
  BackupCopy,
  ObjectChange,
} from "../src/standins/versioned_objects.ts";
import type { History } from "./history.ts";
import type { SoakServer } from "./soak_server.ts";
import {
  ACCOUNT,
  HOST,
  REJECTED_PATH,
  REJECTING_SERVICE,
  ROUTE,
  SERVICE,
  WARMUP,
} from "./soak_settings.ts";

/** Number of removed keys that callers still use. */
const REMOVED_KEYS_IN_USE = 1;

/** Data centre of all servers. */
const DATA_CENTRE = "north";

/** Path of the route that identifies a configuration version. */
export function versionPath(version: number): string {
  return `/version-${version}/`;
}

/** The store and its contents. */
export class SoakStore {
  readonly #store = new ObjectStoreStandin();
  readonly #history: History;
  readonly #faults = new Map<string, StoreFaults>();
  readonly #servers = new Map<string, object>();
  #configuration: ObjectChange = { name: "main" };
  #version = 0;
  #keyNumber = 1;
  #keys: readonly string[] = ["key-0", "key-1"];
  readonly #removedKeys: string[] = [];

  constructor(history: History) {
    this.#history = history;
  }

  /** Number of reading calls that the store has received. */
  get reads(): number {
    return this.#store.reads;
  }

  /** Version of the last written configuration. */
  get version(): number {
    return this.#version;
  }

  /** Keys that callers use: the valid ones, and those removed last. */
  get usedKeys(): readonly string[] {
    return [...this.#keys, ...this.#removedKeys.slice(-REMOVED_KEYS_IN_USE)];
  }

  /** Starts to listen; returns the address. */
  listen(): Promise<string> {
    return this.#store.listen();
  }

  close(): Promise<void> {
    return this.#store.close();
  }

  /** Writes the next configuration version, with a route of its own. */
  configure(): void {
    this.#version += 1;
    const route = {
      Hostname: HOST,
      Service: SERVICE,
      MaxAttempts: ROUTE.maxRuns,
      TimeoutMs: ROUTE.timeLimitMs,
    };
    this.#configuration = {
      name: "main",
      spec: {
        Version: this.#version,
        Routes: [
          ...this.#versionRoutes(route),
          {
            ...route,
            Name: "o",
            PathPrefix: "/once/",
            RouteType: "non_idempotent",
            MaxAttempts: 1,
          },
          {
            ...route,
            Name: "r",
            PathPrefix: "/repeatable/",
            RouteType: "idempotent",
          },
          {
            ...route,
            Name: "s",
            PathPrefix: "/stream/",
            RouteType: "streaming",
            StreamResumption: true,
          },
          {
            ...route,
            Name: "x",
            PathPrefix: REJECTED_PATH,
            RouteType: "idempotent",
            Anonymous: true,
            Service: REJECTING_SERVICE,
          },
        ],
        Services: [{
          Name: SERVICE,
          WarmupS: WARMUP.durationS,
          WarmupPerS: WARMUP.requestsPerSecond,
        }, { Name: REJECTING_SERVICE }],
        Tenants: [{ Name: ACCOUNT, ApiKeys: this.#keys }],
      },
    };
    this.#store.objects.put("config", this.#configuration);
    this.#history.configurations.push({
      version: this.#version,
      storedMs: performance.now(),
      keys: this.#keys,
    });
  }

  /** Removes the oldest key and adds a new one. */
  removeKey(): void {
    this.#keyNumber += 1;
    this.#removedKeys.push(...this.#keys.slice(0, 1));
    this.#keys = [...this.#keys.slice(1), `key-${this.#keyNumber}`];
    this.configure();
  }

  /** Writes a server's entry, as the server itself would. */
  register(
    server: { readonly name: string },
    address: string,
    service = SERVICE,
  ): void {
    const spec = {
      Service: service,
      Address: address,
      Zone: DATA_CENTRE,
      Version: "v1",
      Slots: 16,
      State: "ready",
    };
    this.#servers.set(server.name, spec);
    this.#store.objects.put("servers", { name: server.name, spec });
  }

  /** Orders that no new requests are sent to the servers' data centre. */
  evacuate(): void {
    this.#store.objects.put("evacuations", { name: DATA_CENTRE, spec: {} });
    const orderedMs = performance.now();
    this.#history.evacuations.push({ orderedMs, liftedMs: Infinity });
  }

  /** Lifts the evacuation; the servers are cold then. */
  liftEvacuation(): void {
    const last = this.#history.evacuations.at(-1);
    // Recorded before the call, as a gateway may receive the change before the call returns.
    if (last !== undefined) last.liftedMs = performance.now();
    this.#store.objects.remove("evacuations", DATA_CENTRE);
  }

  /** Marks a server as draining in its entry. */
  drain({ name }: SoakServer): void {
    const spec = { ...this.#servers.get(name), State: "draining" };
    this.#servers.set(name, spec);
    this.#store.objects.put("servers", { name, spec });
    const announcedMs = performance.now();
    this.#history.drainingServers.push({
      server: name,
      announcedMs,
    });
  }

  /** Removes the entry of a server that has ended. */
  deregister({ name }: SoakServer): void {
    this.#servers.delete(name);
    this.#store.objects.remove("servers", name);
  }

  /** Removes the entries of all servers, as if they had expired while the store was down. */
  expireServers(): void {
    for (const name of this.#servers.keys()) {
      this.#store.objects.remove("servers", name);
    }
  }

  /** Writes the entries of all running servers again. */
  reregisterServers(): void {
    for (const [name, spec] of this.#servers) {
      this.#store.objects.put("servers", { name, spec });
    }
  }

  /** Returns a copy of all that the store holds. */
  copy(): BackupCopy {
    return this.#store.objects.copy();
  }

  /** Replaces what the store holds by a copy. */
  restore(copy: BackupCopy): void {
    this.#store.objects.restore(copy);
  }

  /** Writes again what the operator and the servers have written; servers that left go. */
  rewrite({ operatorFirst }: { operatorFirst: boolean }): void {
    const { objects } = this.#store;
    if (operatorFirst) objects.put("config", this.#configuration);
    for (const { name } of objects.list("servers")) {
      if (!this.#servers.has(name)) objects.remove("servers", name);
    }
    this.reregisterServers();
    if (!operatorFirst) objects.put("config", this.#configuration);
  }

  /** Discards the change history and ends all watches. */
  discardHistory(): void {
    this.#store.objects.compactHistory();
    this.#store.objects.wakeWatches();
  }

  /** Starts a fault, which may overlap with others. */
  beginFault(name: string, faults: StoreFaults): void {
    this.#faults.set(name, faults);
    this.#setFaults();
  }

  /** Ends a fault. */
  endFault(name: string): void {
    this.#faults.delete(name);
    this.#setFaults();
  }

  #setFaults(): void {
    this.#store.setFaults(Object.assign({}, ...this.#faults.values()));
  }

  /** Routes of the current and the previous version, so that requests may span a change. */
  #versionRoutes(route: object): object[] {
    return [this.#version - 1, this.#version].map((version) => ({
      ...route,
      Name: `v-${version}`,
      PathPrefix: versionPath(version),
      RouteType: "idempotent",
      Anonymous: true,
      Service: "nowhere",
    }));
  }
}
