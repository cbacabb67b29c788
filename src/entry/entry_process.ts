/** Start, drain and stop of an entry VM process. */

import { pause } from "../runtime/pause.ts";
import type { Logger } from "../runtime/logger.ts";
import {
  createEntryContainer,
  type EntryComponents,
  type EntryOptions,
} from "./entry_container.ts";

const MS_PER_SECOND = 1_000;
const POLL_INTERVAL_MS = 50;

/** Addresses that an entry listens on. */
export interface EntryAddresses {
  readonly callers: string;
  readonly peers: string;
  readonly operators: string;
}

/** A running entry. */
export class EntryProcess {
  readonly #options: EntryOptions;
  readonly #components: EntryComponents;
  readonly #logger: Logger;

  constructor(options: EntryOptions) {
    this.#options = options;
    this.#components = createEntryContainer(options).cradle;
    this.#logger = options.logger;
  }

  /** Revision of the configuration in force. */
  get revision(): number {
    return this.#components.configurationStore.revision;
  }

  /** Starts serving requests and following the platform and other entry VMs. */
  async start(): Promise<EntryAddresses> {
    const components = this.#components;
    const addresses = {
      callers: await components.callerServer.listen(),
      peers: await components.peerServer.listen(),
      operators: await components.operatorServer.listen(),
    };
    const { advertise } = this.#options.settings.peers;
    components.memberTable.setOwnAddresses({
      ...addresses,
      peers: advertise ?? addresses.peers,
    });
    components.prober.start();
    components.headFollower.start();
    components.freshnessMonitor.start();
    components.holderReporter.start();
    components.vmListFollower.start();
    components.loadReportFollower.start();
    this.#logger.info("Entry is listening", addresses);
    return addresses;
  }

  /**
   * Planned stop: withdraws this entry from the advertised addresses, serves callers that still
   * cache its address, then finishes the requests in flight.
   */
  async drain(): Promise<void> {
    const { address_max_age_s, drain_grace_ms } =
      this.#options.settings.callers;
    this.#components.memberTable.leave();
    this.#logger.info("Entry is draining");
    await this.#components.prober.announce(
      this.#components.memberTable.others(),
    );
    await pause(address_max_age_s * MS_PER_SECOND + drain_grace_ms);
    await this.stop();
  }

  /** Finishes the requests in flight and stops. */
  async stop(): Promise<void> {
    const components = this.#components;
    const closed = components.callerServer.close();
    while (components.inFlightLimits.total > 0) await pause(POLL_INTERVAL_MS);
    await closed;
    components.loadReportFollower.stop();
    components.freshnessMonitor.stop();
    components.holderReporter.stop();
    await components.holderReporter.withdraw();
    components.vmListFollower.stop();
    components.headFollower.stop();
    components.prober.stop();
    await components.peerServer.close();
    await components.operatorServer.close();
    await components.peers.close();
    await components.platform.close();
    await components.backendDispatcher.destroy();
    this.#logger.info("Entry stopped");
  }
}
