/** Wires the parts of a gateway together. */

import {
  asFunction,
  asValue,
  type AwilixContainer,
  createContainer,
  InjectionMode,
  type Resolver,
} from "awilix";
import { BackendConnections } from "../backends/backend_connections.ts";
import { ServerEndCheck } from "../backends/server_end_check.ts";
import { ServerProbe } from "../backends/server_probe.ts";
import { CrashBook } from "../core/crashes/crash_book.ts";
import { ModelPace } from "../core/cascade/model_pace.ts";
import { NO_REVISION } from "../core/ids.ts";
import { RetryBudget } from "../core/limits/retry_budget.ts";
import { FleetSize } from "../core/membership/fleet_size.ts";
import { MemberTable } from "../core/membership/member_table.ts";
import { EvidenceBook } from "../core/rollout/evidence.ts";
import { ReleaseChoice } from "../core/rollout/release_choice.ts";
import { ReleaseGate } from "../core/rollout/release_gate.ts";
import { TrialJudge } from "../core/rollout/trial_judge.ts";
import { SessionBook } from "../core/rollout/session_book.ts";
import { ProbeOrder } from "../core/membership/probe_order.ts";
import { ColdAdmission } from "../core/routing/cold_admission.ts";
import { LimitAdmission } from "../core/routing/limit_admission.ts";
import { PromptHolders } from "../core/routing/prompt_holders.ts";
import { AffinityChoice } from "../core/routing/affinity_choice.ts";
import { ColdServers } from "../core/servers/cold_servers.ts";
import { ServerDirectory } from "../core/servers/server_directory.ts";
import { ServerStallDetector } from "../core/servers/server_stall_detector.ts";
import { PrefillTimeEstimator } from "../core/servers/prefill_time_estimator.ts";
import { ServerLoads } from "../core/servers/server_loads.ts";
import { ServerLimits } from "../core/servers/server_limits.ts";
import { ServerBackoffs } from "../core/servers/server_backoffs.ts";
import { UnackedAttempts } from "../core/servers/unacked_attempts.ts";
import { CrashNews } from "../fleet/crash_news.ts";
import { DigestExchanger } from "../fleet/digest_exchanger.ts";
import { DigestKeeper } from "../fleet/digest_keeper.ts";
import { LimitNews } from "../fleet/limit_news.ts";
import { FleetRelayRole } from "../fleet/fleet_relay_role.ts";
import { DigestServer } from "../fleet/digest_server.ts";
import { PlaceBorrower } from "../fleet/place_borrower.ts";
import { PlaceLender } from "../fleet/place_lender.ts";
import { StoreFeed } from "../fleet/store_feed.ts";
import { StoreSubscriber } from "../fleet/store_subscriber.ts";
import { VmClients } from "../fleet/vm_clients.ts";
import { HttpObjectStore } from "../platform/http_object_store.ts";
import type { VmSettings } from "../platform/vm_settings_wire.ts";
import { type Clock, SystemClock } from "../runtime/clock.ts";
import { unitHash } from "../runtime/hashing.ts";
import type { Logger } from "../runtime/logger.ts";
import { TrustClock } from "../runtime/trust_clock.ts";
import { CrashRegistry } from "../store/crash_registry.ts";
import { MissedChangeDetector } from "../store/missed_change_detector.ts";
import { SeenRevisions } from "../store/seen_revisions.ts";
import { EvacuationFollower } from "../store/evacuation_follower.ts";
import { RollOutFollower } from "../store/roll_out_follower.ts";
import { RoutingFollower } from "../store/routing_follower.ts";
import { ServerFollower } from "../store/server_follower.ts";
import { StoreSync } from "../store/store_sync.ts";
import { VmRegistry } from "../store/vm_registry.ts";
import { TrialFollower } from "../store/trial_follower.ts";
import { StoreHealthKeeper } from "../store/store_health.ts";
import { AddressList } from "./address_list.ts";
import { AttemptAcks } from "./attempt_acks.ts";
import { ColdServerGuard } from "./cold_server_guard.ts";
import { ControlServer } from "./control_server.ts";
import { CrashWatch } from "./crash_watch.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import { Readiness } from "./readiness.ts";
import { RequestAdmission } from "./request_admission.ts";
import { RequestLog } from "./request_log.ts";
import { RequestServer } from "./request_server.ts";
import { SeedList } from "./seed_list.ts";
import { ServerGate } from "./server_gate.ts";
import { ServerNotices } from "./server_notices.ts";
import { ServerSelector } from "./server_selector.ts";
import { StopState } from "./stop_state.ts";
import { SuspectPlaces } from "./suspect_places.ts";
import { TryObserver } from "./try_observer.ts";
import { TrySilence } from "./try_silence.ts";
import { TrialController } from "./trial_controller.ts";
import { WorkPredictor } from "./work_predictor.ts";

/** What other VMs tell of sessions is up to this old. */
const SESSION_MARGIN_MS = 1_000;

/** What a gateway is built from. */
export interface GatewayOptions {
  readonly vmSettings: VmSettings;
  readonly logger: Logger;
}

/** Parts that the process starts and stops, by name. */
export interface GatewayParts {
  readonly clock: Clock;
  readonly memberTable: MemberTable;
  readonly objectStore: HttpObjectStore;
  readonly routingFollower: RoutingFollower;
  readonly serverFollower: ServerFollower;
  readonly rollOutFollower: RollOutFollower;
  readonly evacuationFollower: EvacuationFollower;
  readonly backendConnections: BackendConnections;
  readonly serverLoads: ServerLoads;
  readonly coldServerGuard: ColdServerGuard;
  readonly coldAdmission: ColdAdmission;
  readonly limitAdmission: LimitAdmission;
  readonly serverStallDetector: ServerStallDetector;
  readonly serverProbe: ServerProbe;
  readonly promptHolders: PromptHolders;
  readonly trialFollower: TrialFollower;
  readonly trialController: TrialController;
  readonly digestServer: DigestServer;
  readonly storeSync: StoreSync;
  readonly digestExchanger: DigestExchanger;
  readonly storeFeed: StoreFeed;
  readonly retryBudget: RetryBudget;
  readonly requestServer: RequestServer;
  readonly controlServer: ControlServer;
  readonly stopState: StopState;
  readonly seedList: SeedList;
  readonly vmRegistry: VmRegistry;
}

/** Returns a container with all parts of one gateway. */
export function createGatewayContainer(
  { vmSettings, logger }: GatewayOptions,
): AwilixContainer<GatewayParts> {
  const container = createContainer<GatewayParts>({
    injectionMode: InjectionMode.PROXY,
    strict: true,
  });
  container.register({
    vmSettings: asValue(vmSettings),
    bounds: asValue(vmSettings.bounds),
    logger: asValue(logger),
    chance: asValue(Math.random),
    unitHash: asValue(unitHash),
    clock: asFunction(() => new SystemClock()).singleton(),
  });
  const parts = {} as GatewayParts;
  container.register({ trustClock: singletonsOf(parts)(TrustClock) });
  const registering = { vmSettings, one: singletonsOf(parts) };
  registerDecisions(container, registering);
  registerEdges(container, registering);
  resolveOnce(container, parts);
  return container;
}

/** Makes one instance of a class, which finds its parts in the container. */
type One = <T>(type: new (parts: never) => T) => Resolver<T>;

interface Registering {
  readonly vmSettings: VmSettings;
  readonly one: One;
}

function singletonsOf(parts: GatewayParts): One {
  return (type) => asFunction(() => new type(parts as never)).singleton();
}

/**
 * Gives `parts` a property for each part, which is resolved when it is first asked for and
 * plain from then on: the container's own object resolves a part at each access.
 */
function resolveOnce(
  container: AwilixContainer<GatewayParts>,
  parts: GatewayParts,
): void {
  for (const name of Object.keys(container.registrations)) {
    Object.defineProperty(parts, name, {
      configurable: true,
      enumerable: true,
      get: () => {
        const value: unknown = container.resolve(name);
        Object.defineProperty(parts, name, { value });
        return value;
      },
    });
  }
}

function registerDecisions(
  container: AwilixContainer,
  { vmSettings, one }: Registering,
): void {
  const { bounds } = vmSettings;
  container.register({
    serverDirectory: one(ServerDirectory),
    serverLoads: one(ServerLoads),
    serverBackoffs: asFunction(() => new ServerBackoffs()).singleton(),
    serverLimits: asFunction(() => new ServerLimits()).singleton(),
    releaseGate: one(ReleaseGate),
    modelPace: one(ModelPace),
    serverStallDetector: one(ServerStallDetector),
    prefillTimeEstimator: one(PrefillTimeEstimator),
    workPredictor: one(WorkPredictor),
    releaseChoice: one(ReleaseChoice),
    evidenceBook: one(EvidenceBook),
    trialJudge: one(TrialJudge),
    sessionBook: asValue(
      new SessionBook(bounds.sessionGapMs + SESSION_MARGIN_MS),
    ),
    probeOrder: asFunction(({ chance }) => new ProbeOrder(chance)).singleton(),
    crashBook: asFunction(() => new CrashBook()).singleton(),
    coldServers: asFunction(() => new ColdServers()).singleton(),
    coldAdmission: one(ColdAdmission),
    unackedAttempts: asFunction(() => new UnackedAttempts()).singleton(),
    limitAdmission: one(LimitAdmission),
    promptHolders: one(PromptHolders),
    affinityChoice: one(AffinityChoice),
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
        // Grows with each start, as no state outlives the process.
        incarnation: clock.wallMs(),
        state: "alive",
        revision: NO_REVISION,
        cores: vmSettings.cores,
      })
    ).singleton(),
  });
}

function registerEdges(
  container: AwilixContainer,
  { vmSettings, one }: Registering,
): void {
  container.register({
    objectStore: asValue(new HttpObjectStore(vmSettings.store.address)),
    storeHealth: one(StoreHealthKeeper),
    seenRevisions: asFunction(() => new SeenRevisions()).singleton(),
    missedChangeDetector: one(MissedChangeDetector),
    routingFollower: one(RoutingFollower),
    serverFollower: one(ServerFollower),
    rollOutFollower: one(RollOutFollower),
    evacuationFollower: one(EvacuationFollower),
    trialFollower: one(TrialFollower),
    trialController: one(TrialController),
    storeSync: one(StoreSync),
    relayRole: one(FleetRelayRole),
    digestKeeper: one(DigestKeeper),
    crashNews: one(CrashNews),
    limitNews: one(LimitNews),
    placeLender: one(PlaceLender),
    placeBorrower: one(PlaceBorrower),
    digestServer: one(DigestServer),
    vmClients: asFunction(() => new VmClients()).singleton(),
    storeFeed: one(StoreFeed),
    storeSubscriber: one(StoreSubscriber),
    digestExchanger: one(DigestExchanger),
    seedList: asValue(new SeedList(vmSettings.seeds)),
    vmRegistry: one(VmRegistry),
    crashRegistry: one(CrashRegistry),
    seedAddresses: asFunction((
      { seedList, vmRegistry }: { seedList: SeedList; vmRegistry: VmRegistry },
    ) =>
    () => [...seedList.seeds, ...vmRegistry.addresses]).singleton(),
    backendConnections: one(BackendConnections),
    serverProbe: one(ServerProbe),
    serverEndCheck: asFunction(() => new ServerEndCheck()).singleton(),
    crashWatch: one(CrashWatch),
    suspectPlaces: asFunction(() => new SuspectPlaces()).singleton(),
    stopState: one(StopState),
    readiness: one(Readiness),
    addressList: one(AddressList),
    coldServerGuard: one(ColdServerGuard),
    serverGate: one(ServerGate),
    serverNotices: one(ServerNotices),
    serverSelector: one(ServerSelector),
    requestAdmission: one(RequestAdmission),
    tryObserver: one(TryObserver),
    trySilence: one(TrySilence),
    attemptAcks: one(AttemptAcks),
    requestLog: one(RequestLog),
    requestServer: one(RequestServer),
    gatewayMetrics: one(GatewayMetrics),
    controlServer: one(ControlServer),
  });
}
