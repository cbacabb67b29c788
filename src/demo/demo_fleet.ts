/** A demo fleet on loopback in one process: stand-ins and three entries. */

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
const ENTRY_COUNT = 3;
const APPLY_TIMEOUT_MS = 10_000;
const POLL_INTERVAL_MS = 20;
const PLATFORM_TIMEOUT_MS = 2_000;
/** The first model stands for a cheap one, which answers fewer prompts correctly. */
const FIRST_MODEL_QUALITY = 0.7;
const OTHER_MODELS_QUALITY = 0.95;

/** Identity and addresses of an entry in a running fleet. */
export interface DemoEntry extends EntryAddresses {
  readonly id: string;
  readonly dataCentre: string;
}

interface Standin {
  listen(address: string): Promise<string>;
  close(): Promise<void>;
}

/** Fleet that serves one configuration from backend server stand-ins. */
export class DemoFleet {
  readonly #configuration: Configuration;
  readonly #peerSecret = randomUUID();
  readonly #standins: Standin[] = [];
  readonly #entries: EntryProcess[] = [];

  constructor(configuration: Configuration) {
    this.#configuration = configuration;
  }

  /**
   * Starts all parts and waits until each entry has loaded the configuration; returns the
   * platform's URL and the entries.
   */
  async start(): Promise<{ platform: string; entries: DemoEntry[] }> {
    const platform = await this.#startStandin(new PlatformStandin());
    const backends = await Promise.all(
      this.#configuration.backends.map((backend) =>
        this.#startBackend(backend)
      ),
    );
    await applyConfiguration(platform, { ...this.#configuration, backends });
    const entries: DemoEntry[] = [];
    for (let index = 0; index < ENTRY_COUNT; index++) {
      entries.push(
        await this.#startEntry(index, { platform, others: entries }),
      );
    }
    while (this.#entries.some((entry) => entry.revision === 0)) {
      await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
    }
    return { platform, entries };
  }

  /** Stops the entries once the requests in flight have ended, then closes the stand-ins. */
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
          model === first ? FIRST_MODEL_QUALITY : OTHER_MODELS_QUALITY,
        ])),
      }),
    );
    return { ...backend, url };
  }

  async #startEntry(
    index: number,
    { platform, others }: { platform: string; others: readonly DemoEntry[] },
  ): Promise<DemoEntry> {
    const dataCentres = [
      ...new Set(this.#configuration.backends.map((b) => b.data_centre)),
    ];
    const dataCentre = dataCentres[index % dataCentres.length] as DataCentreId;
    const id = `entry-${index + 1}` as EntryId;
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

async function applyConfiguration(
  url: string,
  configuration: Configuration,
): Promise<void> {
  const platform = new HttpPlatform({ url, timeoutMs: PLATFORM_TIMEOUT_MS });
  const deadline = new Deadline(APPLY_TIMEOUT_MS);
  const applier = new Applier({ platform, clock: new SystemClock() });
  const outcome = await applier.apply({
    configuration,
    applyId: randomUUID(),
    deadline,
  });
  deadline.close();
  await platform.close();
  if (outcome.tag !== "accepted") {
    throw new Error(
      `Platform stand-in did not accept the configuration: ${outcome.tag}`,
    );
  }
}
