/** A fleet whose entries can be cut off, frozen and restarted. */

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
const FIRST_HOST = 11;
/** The small model never answers well, so that its cascade always escalates. */
const SERVERS = [
  { version: "m@v1" },
  { version: "m@v2" },
  { version: "guarded@v1" },
  { version: "small@v1", quality: 0 },
];
/** Declared, but nothing listens there, so that calls are retried elsewhere. */
const DEAD_SERVERS = ["v1", "v2"].map((version) => ({
  id: `dead-${version}`,
  data_centre: "qc-hall",
  url: "http://127.0.0.1:1",
  versions: [{ model: "m", version }],
  slots: 16,
}));

interface Links {
  /** Between the entry and the platform. */
  readonly platform: CuttableProxy;
  /** Before the entry's address for peers. */
  readonly peers: CuttableProxy;
  readonly host: string;
}

/** Entries behind proxies; everything else as in any test fleet. */
export class CuttableFleet {
  readonly #ids: readonly string[];
  readonly #links = new Map<string, Links>();
  readonly #specs = new Map<string, EntrySpec>();
  #fleet: TestFleet | undefined;

  constructor(ids: readonly string[]) {
    this.#ids = ids;
  }

  /** Starts everything with a configuration. */
  async start(configuration: Record<string, unknown>): Promise<void> {
    const { backends: _, ...sections } = configuration;
    const fleet = await TestFleet.start({
      entries: [],
      backends: SERVERS.map((server, at) => ({
        id: `server-${at}`,
        data_centre: "qc-hall",
        ...server,
      })),
      configuration: sections,
      probeIntervalMs: 300,
    });
    this.#fleet = fleet;
    for (const [at, id] of this.#ids.entries()) {
      await this.#link(id, at);
      await fleet.startEntry(this.#specs.get(id) as EntrySpec);
    }
    await fleet.untilMembers(this.#ids.length);
  }

  /** URL of the platform, past all proxies. */
  get platformUrl(): string {
    return this.#fleet?.platformUrl ?? "";
  }

  /** Address of an entry for callers. */
  callersOf(id: string): string {
    return this.#running().entry(id).callers;
  }

  /** URLs of all model servers. */
  modelServerUrls(): string[] {
    return [...this.#running().backends.values()].map(({ url }) => url);
  }

  /** Returns the configuration with this fleet's backend servers. */
  withBackends(cfg: Configuration): Configuration {
    const backends = [...this.#running().declaredBackends(), ...DEAD_SERVERS];
    return { ...cfg, backends: backends as unknown as BackendServer[] };
  }

  /** Calls that the platform has counted; a waiting watch is one. */
  async platformCalls(): Promise<number> {
    const counts = await getJson(`${this.platformUrl}/counts`);
    return Number(counts.reads) + Number(counts.writes) +
      Number(counts.watches);
  }

  /** Sets the faults of the platform. */
  async setPlatformFaults(faults: Record<string, unknown>): Promise<void> {
    await this.#running().setFaults("platform", faults);
  }

  /** Kills an entry and starts it again; it comes back with nothing kept. */
  async restart(id: string): Promise<void> {
    await this.#running().entry(id).process.kill();
    await this.#running().startEntry(this.#specs.get(id) as EntrySpec);
  }

  /** Sends a signal to an entry. */
  signal(id: string, name: "SIGSTOP" | "SIGCONT"): void {
    this.#running().entry(id).process.signal(name);
  }

  /** Cuts an entry from the platform. */
  cutFromPlatform(id: string): void {
    this.#links.get(id)?.platform.cut(ALL_CALLERS);
  }

  /** Cuts all entries from the platform; operators reach it. */
  cutAllFromPlatform(): void {
    for (const id of this.#ids) this.cutFromPlatform(id);
  }

  /** Cuts an entry from all others, both ways. */
  cutFromPeers(id: string): void {
    const { host = "" } = this.#links.get(id) ?? {};
    for (const [other, links] of this.#links) {
      links.peers.cut(other === id ? ALL_CALLERS : host);
    }
  }

  /** Ends all cuts. */
  heal(): void {
    for (const { platform, peers } of this.#links.values()) {
      platform.heal();
      peers.heal();
    }
  }

  /** Ends all processes and proxies. */
  async stop(): Promise<void> {
    await this.#fleet?.stop();
    for (const { platform, peers } of this.#links.values()) {
      platform.close();
      peers.close();
    }
  }

  #running(): TestFleet {
    if (this.#fleet === undefined) {
      throw new Error("Fleet has not been started");
    }
    return this.#fleet;
  }

  async #link(id: string, at: number): Promise<void> {
    const host = `127.0.0.${FIRST_HOST + at}`;
    const platform = new CuttableProxy();
    platform.forwardTo(parseAddress(new URL(this.platformUrl).host));
    const peers = new CuttableProxy();
    this.#links.set(id, { platform, peers, host });
    this.#specs.set(id, {
      id,
      data_centre: DATA_CENTRES[at % DATA_CENTRES.length] as string,
      host,
      platformUrl: `http://${await platform.listen()}`,
      advertise: await peers.listen(),
      onListening: (addresses) =>
        peers.forwardTo(parseAddress(addresses.peers)),
    });
  }
}
