/** The long-running process of an entry VM: its start and its planned stop. */

import { pause } from "../runtime/pause.ts";
import type { Logger } from "../runtime/logger.ts";
import {
  createEntryContainer,
  type EntryOptions,
  type EntryParts,
} from "./entry_container.ts";

const MS_PER_SECOND = 1_000;
const POLL_MS = 50;

/** Addresses on which an entry listens. */
export interface EntryAddresses {
  readonly callers: string;
  readonly peers: string;
  readonly operators: string;
}

/** One entry. */
export class EntryProcess {
  readonly #options: EntryOptions;
  readonly #parts: EntryParts;
  readonly #logger: Logger;

  constructor(options: EntryOptions) {
    this.#options = options;
    this.#parts = createEntryContainer(options).cradle;
    this.#logger = options.logger;
  }

  /** Revision in force. */
  get revision(): number {
    return this.#parts.configurationStore.revision;
  }

  /** Starts to serve and to follow the platform and the other entry VMs. */
  async start(): Promise<EntryAddresses> {
    const parts = this.#parts;
    const addresses = {
      callers: await parts.callerServer.listen(),
      peers: await parts.peerServer.listen(),
      operators: await parts.operatorServer.listen(),
    };
    const { advertise } = this.#options.settings.peers;
    parts.memberTable.setOwnAddresses({
      ...addresses,
      peers: advertise ?? addresses.peers,
    });
    parts.prober.start();
    parts.configurationFollower.start();
    parts.freshnessKeeper.start();
    parts.holderReporter.start();
    parts.vmListFollower.start();
    parts.loadReportFollower.start();
    this.#logger.info("Entry serves", addresses);
    return addresses;
  }

  /**
   * Planned stop: callers are no longer told of this entry, those that still keep
   * its address are served, and then the requests in flight are finished.
   */
  async drain(): Promise<void> {
    const { address_max_age_s, drain_grace_ms } =
      this.#options.settings.callers;
    this.#parts.memberTable.leave();
    this.#logger.info("Entry leaves");
    await this.#parts.prober.announce(this.#parts.memberTable.others());
    await pause(address_max_age_s * MS_PER_SECOND + drain_grace_ms);
    await this.stop();
  }

  /** Finishes the requests in flight and stops. */
  async stop(): Promise<void> {
    const parts = this.#parts;
    const closed = parts.callerServer.close();
    while (parts.inFlightLimits.total > 0) await pause(POLL_MS);
    await closed;
    parts.loadReportFollower.stop();
    parts.freshnessKeeper.stop();
    parts.holderReporter.stop();
    await parts.holderReporter.withdraw();
    parts.vmListFollower.stop();
    parts.configurationFollower.stop();
    parts.prober.stop();
    await parts.peerServer.close();
    await parts.operatorServer.close();
    await parts.peers.close();
    await parts.platform.close();
    await parts.backendDispatcher.destroy();
    this.#logger.info("Entry has stopped");
  }
}
