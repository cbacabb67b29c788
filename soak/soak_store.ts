/** What operators and servers write to the store, and how the store misbehaves. */

import { performance } from "node:perf_hooks";
import {
  ObjectStoreStandin,
  type StoreFaults,
} from "../src/standins/object_store_standin.ts";
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

/** Removed keys that callers still try. */
const REMOVED_KEYS_USED = 1;

/** Where all servers stand. */
const DATA_CENTRE = "north";

/** Path of the route that only one version has. */
export function versionPath(version: number): string {
  return `/version-${version}/`;
}

/** The store and what stands in it. */
export class SoakStore {
  readonly #store = new ObjectStoreStandin();
  readonly #history: History;
  readonly #faults = new Map<string, StoreFaults>();
  readonly #servers = new Map<string, object>();
  #version = 0;
  #keyNumber = 1;
  #keys: readonly string[] = ["key-0", "key-1"];
  readonly #removedKeys: string[] = [];

  constructor(history: History) {
    this.#history = history;
  }

  /** Version that was written last. */
  get version(): number {
    return this.#version;
  }

  /** Keys that callers use: those that are valid, and those removed last. */
  get usedKeys(): readonly string[] {
    return [...this.#keys, ...this.#removedKeys.slice(-REMOVED_KEYS_USED)];
  }

  /** Starts to listen; returns the address. */
  listen(): Promise<string> {
    return this.#store.listen();
  }

  /** Ends all connections. */
  close(): Promise<void> {
    return this.#store.close();
  }

  /** Writes the next version, with a route that no other has. */
  configure(): void {
    this.#version += 1;
    const route = {
      Hostname: HOST,
      Service: SERVICE,
      MaxAttempts: ROUTE.maxRuns,
      TimeoutMs: ROUTE.timeLimitMs,
    };
    this.#store.objects.put("config", {
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
    });
    this.#history.configurations.push({
      version: this.#version,
      takenMs: performance.now(),
      keys: this.#keys,
    });
  }

  /** Takes the oldest key away and adds a new one. */
  removeKey(): void {
    this.#keyNumber += 1;
    this.#removedKeys.push(...this.#keys.slice(0, 1));
    this.#keys = [...this.#keys.slice(1), `key-${this.#keyNumber}`];
    this.configure();
  }

  /** Writes a server down, as it does itself. */
  list(
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

  /** Orders that the servers' data centre gets nothing new. */
  evacuate(): void {
    this.#store.objects.put("evacuations", { name: DATA_CENTRE, spec: {} });
    const saidMs = performance.now();
    this.#history.evacuations.push({ saidMs, takenBackMs: Infinity });
  }

  /** Takes that order back; the servers are cold. */
  takeBack(): void {
    const last = this.#history.evacuations.at(-1);
    // Before, as news may come to a gateway faster than the call returns.
    if (last !== undefined) last.takenBackMs = performance.now();
    this.#store.objects.remove("evacuations", DATA_CENTRE);
  }

  /** Writes down that a server leaves. */
  leave({ name }: SoakServer): void {
    const spec = { ...this.#servers.get(name), State: "draining" };
    this.#store.objects.put("servers", { name, spec });
    const saidMs = performance.now();
    this.#history.leavings.push({ server: name, saidMs });
  }

  /** Removes the entry of a server that has gone. */
  unlist({ name }: SoakServer): void {
    this.#servers.delete(name);
    this.#store.objects.remove("servers", name);
  }

  /** Lets all entries of servers lapse, as while the store is away. */
  lapse(): void {
    for (const name of this.#servers.keys()) {
      this.#store.objects.remove("servers", name);
    }
  }

  /** Servers that live write themselves down again. */
  relist(): void {
    for (const [name, spec] of this.#servers) {
      this.#store.objects.put("servers", { name, spec });
    }
  }

  /** Forgets its history, and ends all watches. */
  forgetHistory(): void {
    this.#store.objects.compactHistory();
    this.#store.objects.wakeWatches();
  }

  /** Begins a fault; it may overlap with others. */
  begin(name: string, faults: StoreFaults): void {
    this.#faults.set(name, faults);
    this.#setFaults();
  }

  /** Ends a fault. */
  end(name: string): void {
    this.#faults.delete(name);
    this.#setFaults();
  }

  #setFaults(): void {
    this.#store.setFaults(Object.assign({}, ...this.#faults.values()));
  }

  /** The newest version and the one before, so that requests may cross a change. */
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
