/** A test fleet whose entries can be disconnected, frozen and restarted. */

import type {
  BackendServer,
  Configuration,
} from "../src/core/config/configuration.ts";
import { parseAddress } from "../src/runtime/address.ts";
import {
  ALL_CALLERS,
  CuttableProxy,
} from "../tests/fixtures/cuttable_proxy.ts";
import {
  type EntrySpec,
  getJson,
  TestFleet,
} from "../tests/fixtures/test_fleet.ts";

const DATA_CENTRES = ["qc-hall", "pasig-hall", "laguna-hall"];
const FIRST_HOST_NUMBER = 11;
/** The model `small` has quality 0, so its cascade always escalates. */
const SERVERS = [
  { version: "m@v1" },
  { version: "m@v2" },
  { version: "guarded@v1" },
  { version: "small@v1", quality: 0 },
];
/** Declared servers on which nothing listens, so that calls are retried on other servers. */
const UNREACHABLE_SERVERS = ["v1", "v2"].map((version) => ({
  id: `dead-${version}`,
  data_centre: "qc-hall",
  url: "http://127.0.0.1:1",
  versions: [{ model: "m", version }],
  slots: 16,
}));

interface EntryProxies {
  /** Proxy from the entry to the platform. */
  readonly platform: CuttableProxy;
  /** Proxy in front of the entry's peer address. */
  readonly peers: CuttableProxy;
  readonly host: string;
}

/** Test fleet with a proxy on the platform and peer connections of each entry. */
export class PartitionableFleet {
  readonly #ids: readonly string[];
  readonly #proxies = new Map<string, EntryProxies>();
  readonly #specs = new Map<string, EntrySpec>();
  #fleet: TestFleet | undefined;

  constructor(ids: readonly string[]) {
    this.#ids = ids;
  }

  /** Starts the fleet with the given configuration. */
  async start(configuration: Record<string, unknown>): Promise<void> {
    const { backends: _, ...sections } = configuration;
    const fleet = await TestFleet.start({
      entries: [],
      backends: SERVERS.map((server, index) => ({
        id: `server-${index}`,
        data_centre: "qc-hall",
        ...server,
      })),
      configuration: sections,
      probeIntervalMs: 300,
    });
    this.#fleet = fleet;
    for (const [index, id] of this.#ids.entries()) {
      await this.#createProxies(id, index);
      await fleet.startEntry(this.#specs.get(id) as EntrySpec);
    }
    await fleet.untilMembers(this.#ids.length);
  }

  /** URL of the platform, bypassing all proxies. */
  get platformUrl(): string {
    return this.#fleet?.platformUrl ?? "";
  }

  /** Returns the address of an entry for callers. */
  callersOf(id: string): string {
    return this.#startedFleet().entry(id).callers;
  }

  /** Returns the URLs of all model servers. */
  modelServerUrls(): string[] {
    return [...this.#startedFleet().backends.values()].map(({ url }) => url);
  }

  /** Returns the configuration with this fleet's backend servers, including unreachable ones. */
  withBackends(cfg: Configuration): Configuration {
    const backends = [
      ...this.#startedFleet().declaredBackends(),
      ...UNREACHABLE_SERVERS,
    ];
    return { ...cfg, backends: backends as unknown as BackendServer[] };
  }

  /** Returns the number of calls to the platform. A pending watch counts as one. */
  async platformCalls(): Promise<number> {
    const counts = await getJson(`${this.platformUrl}/counts`);
    return Number(counts.reads) + Number(counts.writes) +
      Number(counts.watches);
  }

  /** Replaces the faults that the platform injects. */
  async setPlatformFaults(faults: Record<string, unknown>): Promise<void> {
    await this.#startedFleet().setFaults("platform", faults);
  }

  /** Kills an entry and starts it again without any of its previous state. */
  async restart(id: string): Promise<void> {
    await this.#startedFleet().entry(id).process.kill();
    await this.#startedFleet().startEntry(this.#specs.get(id) as EntrySpec);
  }

  /** Sends a signal to the process of an entry. */
  signal(id: string, name: "SIGSTOP" | "SIGCONT"): void {
    this.#startedFleet().entry(id).process.signal(name);
  }

  /** Disconnects an entry from the platform. */
  disconnectFromPlatform(id: string): void {
    this.#proxies.get(id)?.platform.cut(ALL_CALLERS);
  }

  /** Disconnects all entries from the platform; operators can still reach it. */
  disconnectAllFromPlatform(): void {
    for (const id of this.#ids) this.disconnectFromPlatform(id);
  }

  /** Disconnects an entry from all others, in both directions. */
  disconnectFromPeers(id: string): void {
    const { host = "" } = this.#proxies.get(id) ?? {};
    for (const [other, proxies] of this.#proxies) {
      proxies.peers.cut(other === id ? ALL_CALLERS : host);
    }
  }

  /** Restores all connections. */
  restoreConnections(): void {
    for (const { platform, peers } of this.#proxies.values()) {
      platform.heal();
      peers.heal();
    }
  }

  /** Stops all processes and proxies. */
  async stop(): Promise<void> {
    await this.#fleet?.stop();
    for (const { platform, peers } of this.#proxies.values()) {
      platform.close();
      peers.close();
    }
  }

  #startedFleet(): TestFleet {
    if (this.#fleet === undefined) {
      throw new Error("The test fleet has not been started");
    }
    return this.#fleet;
  }

  async #createProxies(id: string, index: number): Promise<void> {
    const host = `127.0.0.${FIRST_HOST_NUMBER + index}`;
    const platform = new CuttableProxy();
    platform.forwardTo(parseAddress(new URL(this.platformUrl).host));
    const peers = new CuttableProxy();
    this.#proxies.set(id, { platform, peers, host });
    this.#specs.set(id, {
      id,
      data_centre: DATA_CENTRES[index % DATA_CENTRES.length] as string,
      host,
      platformUrl: `http://${await platform.listen()}`,
      advertise: await peers.listen(),
      onListening: (addresses) =>
        peers.forwardTo(parseAddress(addresses.peers)),
    });
  }
}
