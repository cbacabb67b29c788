/** One user's fleet on loopback, in one process: stand-ins and three entries. */

import { randomUUID } from "node:crypto";
import { Applier } from "../configuration/applier.ts";
import type {
  BackendServer,
  Configuration,
} from "../core/config/configuration.ts";
import type { DataCentreId, EntryId } from "../core/ids.ts";
import { type EntryAddresses, EntryProcess } from "../entry/entry_process.ts";
import { HttpPlatform } from "../platform/http_platform.ts";
import { settingsSchema } from "../protocol/settings_schema.ts";
import { SystemClock } from "../runtime/clock.ts";
import { Deadline } from "../runtime/deadline.ts";
import { SilentLogger } from "../runtime/logger.ts";
import { ModelServerStandin } from "../standins/model_server_standin.ts";
import { PlainServiceStandin } from "../standins/plain_service_standin.ts";
import { PlatformStandin } from "../standins/platform_standin.ts";

const ANY_PORT = "127.0.0.1:0";
const ENTRIES = 3;
const APPLY_LIMIT_MS = 10_000;
const POLL_MS = 20;
const PLATFORM_TIMEOUT_MS = 2_000;
/** Cheap models answer fewer prompts rightly. */
const QUALITY_OF_FIRST_MODEL = 0.7;
const QUALITY_OF_OTHERS = 0.95;

/** An entry of a running fleet. */
export interface DemoEntry extends EntryAddresses {
  readonly id: string;
  readonly dataCentre: string;
}

interface Standin {
  listen(address: string): Promise<string>;
  close(): Promise<void>;
}

/** A fleet that can be started and stopped. */
export class DemoFleet {
  readonly #configuration: Configuration;
  readonly #peerSecret = randomUUID();
  readonly #standins: Standin[] = [];
  readonly #entries: EntryProcess[] = [];

  constructor(configuration: Configuration) {
    this.#configuration = configuration;
  }

  /** Starts everything; returns the platform's URL and the entries. */
  async start(): Promise<{ platform: string; entries: DemoEntry[] }> {
    const platform = await this.#startStandin(new PlatformStandin());
    const backends = await Promise.all(
      this.#configuration.backends.map((backend) =>
        this.#startBackend(backend)
      ),
    );
    await applyTo(platform, { ...this.#configuration, backends });
    const entries: DemoEntry[] = [];
    for (let at = 0; at < ENTRIES; at++) {
      entries.push(await this.#startEntry(at, { platform, others: entries }));
    }
    while (this.#entries.some((entry) => entry.revision === 0)) {
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
    }
    return { platform, entries };
  }

  /** Finishes the requests in flight and stops everything. */
  async stop(): Promise<void> {
    await Promise.all(this.#entries.map((entry) => entry.stop()));
    await Promise.all(this.#standins.map((standin) => standin.close()));
  }

  async #startStandin(standin: Standin): Promise<string> {
    this.#standins.push(standin);
    return await standin.listen(ANY_PORT);
  }

  async #startBackend(backend: BackendServer): Promise<BackendServer> {
    if (backend.service !== undefined) {
      return {
        ...backend,
        url: await this.#startStandin(new PlainServiceStandin()),
      };
    }
    const first = this.#configuration.models[0]?.id;
    const url = await this.#startStandin(
      new ModelServerStandin({
        slots: backend.slots,
        tokenMs: 10,
        prefillMsPerToken: 0.05,
        reportIntervalMs: 500,
        qualities: new Map(backend.versions.map(({ model, version }) => [
          `${model}@${version}`,
          model === first ? QUALITY_OF_FIRST_MODEL : QUALITY_OF_OTHERS,
        ])),
      }),
    );
    return { ...backend, url };
  }

  async #startEntry(
    at: number,
    { platform, others }: { platform: string; others: readonly DemoEntry[] },
  ): Promise<DemoEntry> {
    const dataCentres = [
      ...new Set(this.#configuration.backends.map((b) => b.data_centre)),
    ];
    const dataCentre = dataCentres[at % dataCentres.length] as DataCentreId;
    const id = `entry-${at + 1}` as EntryId;
    const entry = new EntryProcess({
      settings: settingsSchema.parse({
        entry: { id, data_centre: dataCentre },
        listen: { callers: ANY_PORT, peers: ANY_PORT, operators: ANY_PORT },
        platform: { url: platform },
        peers: { seeds: others.map((other) => other.peers) },
      }),
      peerSecret: this.#peerSecret,
      logger: new SilentLogger(),
    });
    this.#entries.push(entry);
    return { id, dataCentre, ...await entry.start() };
  }
}

async function applyTo(
  url: string,
  configuration: Configuration,
): Promise<void> {
  const platform = new HttpPlatform({ url, timeoutMs: PLATFORM_TIMEOUT_MS });
  const deadline = new Deadline(APPLY_LIMIT_MS);
  const applier = new Applier({ platform, clock: new SystemClock() });
  const outcome = await applier.apply({
    configuration,
    applyId: randomUUID(),
    deadline,
  });
  deadline.close();
  await platform.close();
  if (outcome.tag !== "accepted") {
    throw new Error(`Stand-in of the platform did not accept: ${outcome.tag}`);
  }
}
