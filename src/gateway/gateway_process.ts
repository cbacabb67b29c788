/** The long-running gateway process of a VM: start, drain and stop. */

import type { Revision } from "../core/ids.ts";
import { pause } from "../runtime/pause.ts";
import { RepeatedTask } from "../runtime/repeated_task.ts";
import type { VmSettings } from "../platform/vm_settings_wire.ts";
import type { Logger } from "../runtime/logger.ts";
import {
  createGatewayContainer,
  type GatewayComponents,
  type GatewayOptions,
} from "./gateway_container.ts";

/** Interval between checks for in-flight requests during a drain. */
const DRAIN_POLL_INTERVAL_MS = 50;
/** Time for the last responses to leave the process before it exits. */
const FLUSH_MS = 50;
const HEARTBEAT_INTERVAL_MS = 150;
/** Share of the grace period in which callers may still arrive although none is in flight. */
const MIN_DRAIN_SHARE = 0.8;

/** Runs the components of one gateway. */
export class GatewayProcess {
  readonly #components: GatewayComponents;
  readonly #options: GatewayOptions;
  readonly #logger: Logger;
  readonly #heartbeat = new RepeatedTask({
    intervalMs: HEARTBEAT_INTERVAL_MS,
    run: () => {
      const { retryBudget, retryBudgetLog, suspensionDetector, clock } =
        this.#components;
      suspensionDetector.heartbeat();
      retryBudget.heartbeat(clock.monotonicMs());
      retryBudgetLog.logIfDue();
      return Promise.resolve();
    },
  });

  constructor(options: GatewayOptions) {
    this.#options = options;
    this.#components = createGatewayContainer(options).cradle;
    this.#logger = options.logger;
  }

  /** Starts following the store and serving requests. */
  async start(): Promise<void> {
    const components = this.#components;
    const { listen } = this.#options.vmSettings;
    this.#heartbeat.start();
    components.objectStore.onAnswer(({ outcome }) =>
      components.gatewayMetrics.storeCalls.inc({ outcome })
    );
    // Sets which object kinds this VM reads from the store, before any is read.
    components.storeSync.setAccess("reader");
    void components.crashRegistry.load((crashes) =>
      components.crashGossip.recordLoaded(crashes)
    );
    components.routingFollower.start();
    components.rollOutFollower.start();
    components.evacuationFollower.start();
    components.serverFollower.start();
    components.serverFollower.onRemoved((server, reason) => {
      const { instance } = server;
      components.attemptAcks.serverRemoved(server, reason);
      components.backendConnectionPool.closeIdle(instance);
      components.coldAdmission.remove(instance);
      components.limitAdmission.remove(instance);
      components.brittleServers.remove(instance);
      components.serverLoads.remove(instance);
      components.serverStallDetector.removeInactive(
        components.clock.monotonicMs(),
      );
      components.serverProbe.removeServer(instance);
      components.promptHolders.recordServerEnd(
        instance,
        components.clock.monotonicMs(),
      );
    });
    components.evacuationFollower.onEvacuationEnd((servers) =>
      components.coldServerGuard.assumeCold(servers)
    );
    components.routingFollower.onChange(({ configuration, version }) => {
      components.requestServer.setLimits(configuration.limits);
      components.memberTable.setOwnRevision(version as Revision);
    });
    components.reachabilityMonitor.onChange((lostServices) => {
      components.memberTable.setLostServices(lostServices);
      void components.digestExchanger.announceToSmallFleet();
    });
    components.serverNoticeHandler.onBrittleRejection(() =>
      void components.digestExchanger.announceToSmallFleet()
    );
    components.canaryFollower.start();
    if (listen.peers !== undefined) {
      await components.digestServer.listen(listen.peers);
      components.digestExchanger.start();
    }
    components.trialController.start();
    if (listen.callers !== undefined) {
      await components.requestServer.listen(listen.callers);
    }
    await components.controlServer.listen();
    this.#logger.info("Gateway started", {
      callers: listen.callers,
      peers: listen.peers,
      store: this.#options.vmSettings.store.address,
    });
  }

  /** Planned shutdown: sends callers to other VMs and serves those that still arrive. */
  async drain(): Promise<void> {
    const { stopState, memberTable, requestServer } = this.#components;
    stopState.begin();
    memberTable.leave();
    void this.#components.digestExchanger.announce();
    this.#logger.info("Gateway is draining", {
      in_flight: requestServer.inFlight,
    });
    const { stopGraceMs } = this.#options.vmSettings.bounds;
    const idleExitMs = stopGraceMs * (1 - MIN_DRAIN_SHARE);
    for (;;) {
      const exitInMs = stopState.exitInMs();
      const idle = requestServer.inFlight === 0;
      if (exitInMs <= 0 || (idle && exitInMs < idleExitMs)) break;
      await pause(Math.min(DRAIN_POLL_INTERVAL_MS, exitInMs));
    }
    this.#logger.info("Gateway drain finished", {
      in_flight: requestServer.inFlight,
    });
    const hasResponses = requestServer.inFlight > 0;
    requestServer.endAll();
    if (hasResponses) await pause(FLUSH_MS);
  }

  /** Applies changed settings; changed listen addresses need a restart. */
  reload(settings: VmSettings): void {
    this.#components.seedList.replace(settings.seeds);
    this.#logger.info("Settings reloaded", {
      seeds: settings.seeds.length,
    });
  }

  /** Stops all components without waiting for requests. */
  async stop(): Promise<void> {
    const components = this.#components;
    this.#heartbeat.stop();
    components.reachabilityMonitor.stop();
    components.trialController.stop();
    components.canaryFollower.stop();
    components.evacuationFollower.stop();
    components.rollOutFollower.stop();
    components.serverFollower.stop();
    components.routingFollower.stop();
    await components.digestExchanger.stop();
    components.storeFeed.flush();
    await components.requestServer.close();
    await components.digestServer.close();
    await components.controlServer.close();
    components.backendConnectionPool.close();
    await components.objectStore.close();
  }
}
