/** The long-running process of a VM on the users' platform: its start and its stop. */

import type { Revision } from "../core/ids.ts";
import { pause } from "../runtime/pause.ts";
import { RepeatedTask } from "../runtime/repeated_task.ts";
import type { VmSettings } from "../platform/vm_settings_wire.ts";
import type { Logger } from "../runtime/logger.ts";
import {
  createGatewayContainer,
  type GatewayOptions,
  type GatewayParts,
} from "./gateway_container.ts";

/** Time between looks for requests that are still under way during a stop. */
const POLL_MS = 50;
/** Time before the kill at which the process ends by itself. */
const END_MARGIN_MS = 150;
/** Time between heartbeats of the retry budget. */
const HEARTBEAT_MS = 150;
/** Time for which callers may still come although nothing is under way. */
const QUIET_SHARE = 0.8;

/** One gateway. */
export class GatewayProcess {
  readonly #parts: GatewayParts;
  readonly #options: GatewayOptions;
  readonly #logger: Logger;
  readonly #heartbeat = new RepeatedTask({
    intervalMs: HEARTBEAT_MS,
    run: () => {
      const { retryBudget, clock } = this.#parts;
      retryBudget.heartbeat(clock.monotonicMs());
      return Promise.resolve();
    },
  });

  constructor(options: GatewayOptions) {
    this.#options = options;
    this.#parts = createGatewayContainer(options).cradle;
    this.#logger = options.logger;
  }

  /** Starts to follow the store and to serve. */
  async start(): Promise<void> {
    const parts = this.#parts;
    const { listen } = this.#options.vmSettings;
    this.#heartbeat.start();
    // Decides which kinds this VM reads, before any is read.
    parts.storeSync.setAccess("reader");
    parts.routingFollower.start();
    parts.rollOutFollower.start();
    parts.evacuationFollower.start();
    parts.serverFollower.start();
    parts.serverFollower.onRemoved(({ instance }) => {
      parts.backendConnections.drop(instance);
      parts.coldAdmission.forget(instance);
      parts.limitAdmission.forget(instance);
      parts.serverLoads.remove(instance);
      parts.serverStallDetector.removeInactive(parts.clock.monotonicMs());
      parts.serverProbe.forget(instance);
      parts.promptHolders.ended(instance, parts.clock.monotonicMs());
    });
    parts.evacuationFollower.onReturn((servers) =>
      parts.coldServerGuard.presumeCold(servers)
    );
    parts.routingFollower.onChange(({ configuration, version }) => {
      parts.requestServer.setLimits(configuration.limits);
      parts.memberTable.setOwnRevision(version as Revision);
    });
    parts.trialFollower.start();
    if (listen.peers !== undefined) {
      await parts.digestServer.listen(listen.peers);
      parts.digestExchanger.start();
    }
    parts.trialController.start();
    if (listen.callers !== undefined) {
      await parts.requestServer.listen(listen.callers);
    }
    await parts.controlServer.listen();
    this.#logger.info("Gateway serves", {
      callers: listen.callers,
      peers: listen.peers,
      store: this.#options.vmSettings.store.address,
    });
  }

  /** Planned stop: callers are sent elsewhere, and those that still come are served. */
  async drain(): Promise<void> {
    const { stopState, memberTable, requestServer } = this.#parts;
    stopState.begin();
    memberTable.leave();
    void this.#parts.digestExchanger.announce();
    this.#logger.info("Gateway leaves", { in_flight: requestServer.inFlight });
    const { stopGraceMs } = this.#options.vmSettings.bounds;
    const quietMs = stopGraceMs * (1 - QUIET_SHARE);
    while (stopState.leftMs() > END_MARGIN_MS) {
      const idle = requestServer.inFlight === 0;
      if (idle && stopState.leftMs() < quietMs) break;
      await pause(POLL_MS);
    }
    this.#logger.info("Gateway has stopped", {
      in_flight: requestServer.inFlight,
    });
  }

  /** Takes in settings that have changed; addresses to listen on need a restart. */
  reload(settings: VmSettings): void {
    this.#parts.seedList.replace(settings.seeds);
    this.#logger.info("Settings are in force", {
      seeds: settings.seeds.length,
    });
  }

  /** Ends at once all that was started. */
  async stop(): Promise<void> {
    const parts = this.#parts;
    this.#heartbeat.stop();
    parts.trialController.stop();
    parts.trialFollower.stop();
    parts.evacuationFollower.stop();
    parts.rollOutFollower.stop();
    parts.serverFollower.stop();
    parts.routingFollower.stop();
    await parts.digestExchanger.stop();
    parts.storeFeed.flush();
    await parts.requestServer.close();
    await parts.digestServer.close();
    await parts.controlServer.close();
    parts.backendConnections.close();
    await parts.objectStore.close();
  }
}
