/** Dependency injection container of the gateway. */

import {
  asFunction,
  asValue,
  type AwilixContainer,
  createContainer,
  InjectionMode,
  type Resolver,
} from "awilix";
import { BackendConnectionPool } from "../backends/backend_connection_pool.ts";
import { ResponseMemory } from "../backends/response_limits.ts";
import {
  type ServerConnector,
  TcpServerConnector,
} from "../backends/server_connector.ts";
import { ServerExitCheck } from "../backends/server_exit_check.ts";
import { ServerIncarnationCheck } from "../backends/server_incarnation_check.ts";
import { ServerProbe } from "../backends/server_probe.ts";
import { CrashHistory } from "../core/crashes/crash_history.ts";
import { ModelLatencyEstimator } from "../core/cascade/model_latency_estimator.ts";
import { NO_REVISION } from "../core/ids.ts";
import { RetryBudget } from "../core/limits/retry_budget.ts";
import { UnreadResponses } from "../core/limits/unread_responses.ts";
import { memoryShare } from "../core/limits/vm_shares.ts";
import { FleetSize } from "../core/membership/fleet_size.ts";
import { MemberTable } from "../core/membership/member_table.ts";
import { EvidenceAggregator } from "../core/rollout/evidence.ts";
import { ReleaseSelector } from "../core/rollout/release_selector.ts";
import { ReleaseGate } from "../core/rollout/release_gate.ts";
import { CanaryAnalyzer } from "../core/rollout/canary_analyzer.ts";
import { SessionTracker } from "../core/rollout/session_tracker.ts";
import { ProbeOrder } from "../core/membership/probe_order.ts";
import { ColdAdmission } from "../core/routing/cold_admission.ts";
import { SlotShare } from "../core/routing/slot_share.ts";
import { LimitAdmission } from "../core/routing/limit_admission.ts";
import { PromptHolders } from "../core/routing/prompt_holders.ts";
import { AffinityChoice } from "../core/routing/affinity_choice.ts";
import { BrittleServers } from "../core/servers/brittle_servers.ts";
import { ColdServers } from "../core/servers/cold_servers.ts";
import { ServerDirectory } from "../core/servers/server_directory.ts";
import { ServerStallDetector } from "../core/servers/server_stall_detector.ts";
import { PrefillTimeEstimator } from "../core/servers/prefill_time_estimator.ts";
import { ServerLoads } from "../core/servers/server_loads.ts";
import { ServerLimits } from "../core/servers/server_limits.ts";
import { ServerReachability } from "../core/servers/server_reachability.ts";
import { ServerBackoffs } from "../core/servers/server_backoffs.ts";
import { UnackedAttempts } from "../core/servers/unacked_attempts.ts";
import { BrittleGossip } from "../fleet/brittle_gossip.ts";
import { CrashGossip } from "../fleet/crash_gossip.ts";
import { DigestExchanger } from "../fleet/digest_exchanger.ts";
import { DigestService } from "../fleet/digest_service.ts";
import { LimitGossip } from "../fleet/limit_gossip.ts";
import { FleetRelayRole } from "../fleet/fleet_relay_role.ts";
import { DigestServer } from "../fleet/digest_server.ts";
import { PermitBorrower } from "../fleet/permit_borrower.ts";
import { PermitGranter } from "../fleet/permit_granter.ts";
import { ForwardingPeers } from "../fleet/forwarding_peers.ts";
import { StoreFeed } from "../fleet/store_feed.ts";
import { StoreSubscriber } from "../fleet/store_subscriber.ts";
import { VmClients } from "../fleet/vm_clients.ts";
import { HttpObjectStore } from "../platform/http_object_store.ts";
import type { VmSettings } from "../platform/vm_settings_wire.ts";
import { type Clock, SystemClock } from "../runtime/clock.ts";
import { unitHash } from "../runtime/hashing.ts";
import type { Logger } from "../runtime/logger.ts";
import { SuspendAwareClock } from "../runtime/suspend_aware_clock.ts";
import { SuspensionDetector } from "../runtime/suspension_detector.ts";
import { CrashRegistry } from "../store/crash_registry.ts";
import { MissedChangeDetector } from "../store/missed_change_detector.ts";
import { SeenRevisions } from "../store/seen_revisions.ts";
import { EvacuationFollower } from "../store/evacuation_follower.ts";
import { RollOutFollower } from "../store/roll_out_follower.ts";
import { RoutingFollower } from "../store/routing_follower.ts";
import { ServerFollower } from "../store/server_follower.ts";
import { StoreEraMonitor } from "../store/store_era_monitor.ts";
import { StoreSync } from "../store/store_sync.ts";
import { UnfollowedWriter } from "../store/unfollowed_writer.ts";
import { VmRegistry } from "../store/vm_registry.ts";
import { CanaryFollower } from "../store/canary_follower.ts";
import { StoreHealthMonitor } from "../store/store_health_monitor.ts";
import { AddressList } from "./address_list.ts";
import { AttemptAcks } from "./attempt_acks.ts";
import { ColdServerGuard } from "./cold_server_guard.ts";
import { ControlServer } from "./control_server.ts";
import { CrashDetector } from "./crash_detector.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import { MisdirectionCheck } from "./misdirection_check.ts";
import { ReachabilityMonitor } from "./reachability_monitor.ts";
import { Readiness } from "./readiness.ts";
import { RequestAdmission } from "./request_admission.ts";
import { RequestLog } from "./request_log.ts";
import { RetryBudgetLog } from "./retry_budget_log.ts";
import { ResponseEndCheck } from "./response_end_check.ts";
import { ClosedConnections } from "./closed_connections.ts";
import { RequestMemory } from "./request_memory.ts";
import { RequestServer } from "./request_server.ts";
import { SeedList } from "./seed_list.ts";
import { ServerAdmission } from "./server_admission.ts";
import { ServerNoticeHandler } from "./server_notice_handler.ts";
import { ServerSelector } from "./server_selector.ts";
import { StopState } from "./stop_state.ts";
import { SuspectPlacement } from "./suspect_placement.ts";
import { AttemptObserver } from "./attempt_observer.ts";
import { AttemptStallDetector } from "./attempt_stall_detector.ts";
import { TrialController } from "./trial_controller.ts";
import { WorkPredictor } from "./work_predictor.ts";

/** Session data gossiped by other VMs may be up to this old. */
const SESSION_GOSSIP_DELAY_MS = 1_000;

/** Inputs from which a gateway is built. */
export interface GatewayOptions {
  readonly vmSettings: VmSettings;
  readonly logger: Logger;
  /** Opens connections to backend servers; over TCP by default. */
  readonly serverConnector?: ServerConnector;
}

/** Components that the gateway process uses directly, by registration name. */
export interface GatewayComponents {
  readonly clock: Clock;
  readonly memberTable: MemberTable;
  readonly objectStore: HttpObjectStore;
  readonly storeEraMonitor: StoreEraMonitor;
  readonly gatewayMetrics: GatewayMetrics;
  readonly routingFollower: RoutingFollower;
  readonly serverFollower: ServerFollower;
  readonly rollOutFollower: RollOutFollower;
  readonly evacuationFollower: EvacuationFollower;
  readonly backendConnectionPool: BackendConnectionPool;
  readonly serverLoads: ServerLoads;
  readonly coldServerGuard: ColdServerGuard;
  readonly coldAdmission: ColdAdmission;
  readonly limitAdmission: LimitAdmission;
  readonly serverStallDetector: ServerStallDetector;
  readonly serverProbe: ServerProbe;
  readonly attemptAcks: AttemptAcks;
  readonly promptHolders: PromptHolders;
  readonly canaryFollower: CanaryFollower;
  readonly trialController: TrialController;
  readonly digestServer: DigestServer;
  readonly storeSync: StoreSync;
  readonly crashRegistry: CrashRegistry;
  readonly crashGossip: CrashGossip;
  readonly digestExchanger: DigestExchanger;
  readonly storeFeed: StoreFeed;
  readonly retryBudget: RetryBudget;
  readonly retryBudgetLog: RetryBudgetLog;
  readonly suspensionDetector: SuspensionDetector;
  readonly reachabilityMonitor: ReachabilityMonitor;
  readonly serverNoticeHandler: ServerNoticeHandler;
  readonly brittleServers: BrittleServers;
  readonly requestServer: RequestServer;
  readonly controlServer: ControlServer;
  readonly stopState: StopState;
  readonly seedList: SeedList;
  readonly vmRegistry: VmRegistry;
}

/** Returns a container with all components of one gateway. */
export function createGatewayContainer(
  { vmSettings, logger, serverConnector }: GatewayOptions,
): AwilixContainer<GatewayComponents> {
  const container = createContainer<GatewayComponents>({
    injectionMode: InjectionMode.PROXY,
    strict: true,
  });
  container.register({
    vmSettings: asValue(vmSettings),
    bounds: asValue(vmSettings.bounds),
    logger: asValue(logger),
    serverConnector: asValue(serverConnector ?? new TcpServerConnector()),
    peerConnector: asValue(new TcpServerConnector()),
    chance: asValue(Math.random),
    unitHash: asValue(unitHash),
    clock: asFunction(() => new SystemClock()).singleton(),
  });
  const components = {} as GatewayComponents;
  container.register({
    suspendAwareClock: singletonFactory(components)(SuspendAwareClock),
  });
  const context = { vmSettings, singleton: singletonFactory(components) };
  registerCore(container, context);
  registerAdapters(container, context);
  defineLazyProperties(container, components);
  return container;
}

/** Returns a resolver for a single instance of a class, which gets its dependencies injected. */
type SingletonFactory = <T>(type: new (components: never) => T) => Resolver<T>;

interface RegistrationContext {
  readonly vmSettings: VmSettings;
  readonly singleton: SingletonFactory;
}

function singletonFactory(components: GatewayComponents): SingletonFactory {
  return (type) => asFunction(() => new type(components as never)).singleton();
}

/**
 * Defines a property on `components` for each registration. It is resolved on first access and
 * a plain value from then on, whereas the cradle of awilix resolves it on every access.
 */
function defineLazyProperties(
  container: AwilixContainer<GatewayComponents>,
  components: GatewayComponents,
): void {
  for (const name of Object.keys(container.registrations)) {
    Object.defineProperty(components, name, {
      configurable: true,
      enumerable: true,
      get: () => {
        const value: unknown = container.resolve(name);
        Object.defineProperty(components, name, { value });
        return value;
      },
    });
  }
}

function registerCore(
  container: AwilixContainer,
  { vmSettings, singleton }: RegistrationContext,
): void {
  const { bounds } = vmSettings;
  container.register({
    serverDirectory: singleton(ServerDirectory),
    serverLoads: singleton(ServerLoads),
    serverBackoffs: asFunction(() => new ServerBackoffs()).singleton(),
    serverLimits: asFunction(() => new ServerLimits()).singleton(),
    brittleServers: singleton(BrittleServers),
    slotShare: singleton(SlotShare),
    serverReachability: asFunction(() => new ServerReachability()).singleton(),
    releaseGate: singleton(ReleaseGate),
    modelLatencyEstimator: singleton(ModelLatencyEstimator),
    serverStallDetector: singleton(ServerStallDetector),
    prefillTimeEstimator: singleton(PrefillTimeEstimator),
    workPredictor: singleton(WorkPredictor),
    releaseSelector: singleton(ReleaseSelector),
    evidenceAggregator: singleton(EvidenceAggregator),
    canaryAnalyzer: singleton(CanaryAnalyzer),
    sessionTracker: asValue(
      new SessionTracker(bounds.sessionGapMs + SESSION_GOSSIP_DELAY_MS),
    ),
    probeOrder: asFunction(({ chance }) => new ProbeOrder(chance)).singleton(),
    crashHistory: asFunction(() => new CrashHistory()).singleton(),
    coldServers: asFunction(() => new ColdServers()).singleton(),
    coldAdmission: singleton(ColdAdmission),
    unackedAttempts: asFunction(() => new UnackedAttempts()).singleton(),
    limitAdmission: singleton(LimitAdmission),
    promptHolders: singleton(PromptHolders),
    affinityChoice: singleton(AffinityChoice),
    fleetSize: asFunction((
      { memberTable, seedList }: {
        memberTable: MemberTable;
        seedList: SeedList;
      },
    ) =>
      new FleetSize({
        self: memberTable.self.id,
        hasOtherSeeds: () =>
          seedList.seeds.some((seed) => seed !== memberTable.self.peers),
      })
    ).singleton(),
    retryBudget: asFunction((
      { clock, fleetSize }: { clock: Clock; fleetSize: FleetSize },
    ) =>
      new RetryBudget({
        ratio: bounds.retryRatio,
        windowMs: bounds.retryWindowMs,
        allowance: bounds.retryAllowance,
      }, { startedMs: clock.monotonicMs(), vms: () => fleetSize.count })
    ).singleton(),
    memberTable: asFunction(({ clock }: { clock: Clock }) =>
      new MemberTable({
        id: vmSettings.vm,
        data_centre: vmSettings.dataCentre,
        callers: vmSettings.listen.callers ?? "",
        peers: vmSettings.listen.peers ?? "",
        // Increases with each start, as no state survives a restart.
        incarnation: clock.wallMs(),
        state: "alive",
        revision: NO_REVISION,
        cores: vmSettings.cores,
      })
    ).singleton(),
  });
}

function registerAdapters(
  container: AwilixContainer,
  { vmSettings, singleton }: RegistrationContext,
): void {
  container.register({
    objectStore: asValue(new HttpObjectStore(vmSettings.store.address)),
    storeHealth: singleton(StoreHealthMonitor),
    storeEraMonitor: singleton(StoreEraMonitor),
    seenRevisions: asFunction(() => new SeenRevisions()).singleton(),
    missedChangeDetector: singleton(MissedChangeDetector),
    routingFollower: singleton(RoutingFollower),
    serverFollower: singleton(ServerFollower),
    rollOutFollower: singleton(RollOutFollower),
    evacuationFollower: singleton(EvacuationFollower),
    canaryFollower: singleton(CanaryFollower),
    trialController: singleton(TrialController),
    storeSync: singleton(StoreSync),
    relayRole: singleton(FleetRelayRole),
    digestService: singleton(DigestService),
    crashGossip: singleton(CrashGossip),
    limitGossip: singleton(LimitGossip),
    brittleGossip: singleton(BrittleGossip),
    permitGranter: singleton(PermitGranter),
    permitBorrower: singleton(PermitBorrower),
    forwardingPeers: singleton(ForwardingPeers),
    digestServer: singleton(DigestServer),
    vmClients: asFunction(() => new VmClients()).singleton(),
    storeFeed: singleton(StoreFeed),
    storeSubscriber: singleton(StoreSubscriber),
    digestExchanger: singleton(DigestExchanger),
    seedList: asValue(new SeedList(vmSettings.seeds)),
    unfollowedWriter: singleton(UnfollowedWriter),
    vmRegistry: singleton(VmRegistry),
    crashRegistry: singleton(CrashRegistry),
    seedAddresses: asFunction((
      { seedList, vmRegistry }: { seedList: SeedList; vmRegistry: VmRegistry },
    ) =>
    () => [...seedList.seeds, ...vmRegistry.addresses]).singleton(),
    responseMemory: asFunction(() =>
      new ResponseMemory(memoryShare(vmSettings, "responses"))
    ).singleton(),
    backendConnectionPool: singleton(BackendConnectionPool),
    serverProbe: singleton(ServerProbe),
    serverExitCheck: singleton(ServerExitCheck),
    serverIncarnationCheck: singleton(ServerIncarnationCheck),
    suspensionDetector: singleton(SuspensionDetector),
    crashDetector: singleton(CrashDetector),
    misdirectionCheck: singleton(MisdirectionCheck),
    suspectPlacement: asFunction(() => new SuspectPlacement()).singleton(),
    stopState: singleton(StopState),
    reachabilityMonitor: singleton(ReachabilityMonitor),
    readiness: singleton(Readiness),
    addressList: singleton(AddressList),
    coldServerGuard: singleton(ColdServerGuard),
    serverAdmission: singleton(ServerAdmission),
    serverNoticeHandler: singleton(ServerNoticeHandler),
    serverSelector: singleton(ServerSelector),
    requestAdmission: singleton(RequestAdmission),
    attemptObserver: singleton(AttemptObserver),
    attemptStallDetector: singleton(AttemptStallDetector),
    attemptAcks: singleton(AttemptAcks),
    responseEndCheck: singleton(ResponseEndCheck),
    requestLog: singleton(RequestLog),
    retryBudgetLog: singleton(RetryBudgetLog),
    requestMemory: singleton(RequestMemory),
    closedConnections: singleton(ClosedConnections),
    unreadResponses: asFunction((
      { closedConnections }: { closedConnections: ClosedConnections },
    ) => {
      const onClosed = closedConnections.listener("callers");
      return new UnreadResponses(
        memoryShare(vmSettings, "unread_responses"),
        () => onClosed("unread_responses"),
      );
    }).singleton(),
    requestServer: singleton(RequestServer),
    gatewayMetrics: singleton(GatewayMetrics),
    controlServer: singleton(ControlServer),
  });
}
