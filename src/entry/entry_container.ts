/** Dependency injection container of an entry. */

import {
  asClass,
  asFunction,
  asValue,
  type AwilixContainer,
  createContainer,
  InjectionMode,
} from "awilix";
import { FreshnessMonitor } from "../configuration/freshness_monitor.ts";
import { HolderReporter } from "../configuration/holder_reporter.ts";
import { HttpModelServers } from "../backends/http_model_servers.ts";
import { HttpPlainServices } from "../backends/http_plain_services.ts";
import { ResponseMemory } from "../backends/response_limits.ts";
import { ConfigurationStore } from "../core/config/configuration_store.ts";
import { Freshness } from "../core/config/freshness.ts";
import { PlatformContact } from "../core/config/platform_contact.ts";
import { WitnessLog } from "../core/config/witness_log.ts";
import { NO_REVISION } from "../core/ids.ts";
import { InFlightLimits } from "../core/limits/in_flight_limits.ts";
import { EntryRetryBudget } from "../core/limits/entry_retry_budget.ts";
import { MemberTable } from "../core/membership/member_table.ts";
import { ProbeOrder } from "../core/membership/probe_order.ts";
import { PowerOfTwoChooser } from "../core/routing/server_chooser.ts";
import { ServerPool } from "../core/routing/server_pool.ts";
import { EntryMetrics } from "../metrics/entry_metrics.ts";
import { PeerServer } from "../peers/peer_server.ts";
import { Prober } from "../peers/prober.ts";
import { RelayRole } from "../peers/relay_role.ts";
import { TrpcPeers } from "../peers/trpc_peers.ts";
import { VmViewHolder } from "../peers/vm_view_holder.ts";
import { HttpPlatform } from "../platform/http_platform.ts";
import type { Settings } from "../protocol/settings_schema.ts";
import { type Clock, SystemClock } from "../runtime/clock.ts";
import { HttpAgent } from "../runtime/http_agent.ts";
import { SocketMeter } from "../runtime/socket_meter.ts";
import type { Logger } from "../runtime/logger.ts";
import { AddressBook } from "./address_book.ts";
import { RequestRunner } from "./request_runner.ts";
import { BackendSelector } from "./backend_selector.ts";
import { AdmissionController } from "./admission_controller.ts";
import { CallerServer } from "./caller_server.ts";
import { ChatEndpoint } from "./chat_endpoint.ts";
import { ChatService } from "./chat_service.ts";
import { HeadFollower } from "../configuration/head_follower.ts";
import { ConfigurationLoader } from "../configuration/configuration_loader.ts";
import { LoadReportFollower } from "./load_report_follower.ts";
import { ModelDispatcher } from "./model_dispatcher.ts";
import { OperatorServer } from "./operator_server.ts";
import { asComponent } from "./component_resolver.ts";
import { ServiceDispatcher } from "./service_dispatcher.ts";
import { ServiceEndpoint } from "./service_endpoint.ts";
import { VmListFollower } from "./vm_list_follower.ts";

/** Options of an entry. */
export interface EntryOptions {
  readonly settings: Settings;
  /** Shared secret that authenticates entry VMs to each other. */
  readonly peerSecret: string;
  readonly logger: Logger;
}

/** Components that the process uses directly, by their names in the container. */
export interface EntryComponents {
  readonly clock: Clock;
  readonly memberTable: MemberTable;
  readonly configurationStore: ConfigurationStore;
  readonly inFlightLimits: InFlightLimits;
  readonly backendDispatcher: HttpAgent;
  readonly platform: HttpPlatform;
  readonly peers: TrpcPeers;
  readonly prober: Prober;
  readonly headFollower: HeadFollower;
  readonly freshnessMonitor: FreshnessMonitor;
  readonly holderReporter: HolderReporter;
  readonly vmListFollower: VmListFollower;
  readonly loadReportFollower: LoadReportFollower;
  readonly callerServer: CallerServer;
  readonly peerServer: PeerServer;
  readonly operatorServer: OperatorServer;
}

/** Creates a container with all components of an entry. */
export function createEntryContainer(
  options: EntryOptions,
): AwilixContainer<EntryComponents> {
  const container = createContainer<EntryComponents>({
    injectionMode: InjectionMode.PROXY,
    strict: true,
  });
  container.register({
    settings: asValue(options.settings),
    peerSecret: asValue(options.peerSecret),
    logger: asValue(options.logger),
    chance: asValue(Math.random),
    peerMeter: asClass(SocketMeter).singleton(),
    platformMeter: asClass(SocketMeter).singleton(),
  });
  registerCore(container, options.settings);
  registerEdges(container, options.settings);
  return container;
}

function registerCore(container: AwilixContainer, settings: Settings): void {
  const { entry, listen, limits } = settings;
  container.register({
    configurationStore: asClass(ConfigurationStore).singleton(),
    freshness: asClass(Freshness).singleton(),
    platformContact: asClass(PlatformContact).singleton(),
    witnessLog: asClass(WitnessLog).singleton(),
    serverPool: asClass(ServerPool).singleton(),
    retryBudget: asClass(EntryRetryBudget).singleton(),
    inFlightLimits: asValue(new InFlightLimits(limits.max_in_flight)),
    serverChooser: asFunction(({ serverPool, chance }) =>
      new PowerOfTwoChooser(serverPool, chance)
    ).singleton(),
    probeOrder: asFunction(({ chance }) => new ProbeOrder(chance)).singleton(),
    memberTable: asFunction(({ clock }: { clock: Clock }) =>
      new MemberTable({
        ...entry,
        callers: listen.callers,
        peers: listen.peers,
        // The wall clock increases with each start; no state outlives the process.
        incarnation: clock.wallMs(),
        state: "alive",
        revision: NO_REVISION,
      })
    ).singleton(),
  });
}

/** Far more than any chat or plain response, streams included. */
const MAX_RESPONSE_BYTES = 64 * 1_024 * 1_024;

function registerEdges(container: AwilixContainer, settings: Settings): void {
  const { platform, backends, limits } = settings;
  container.register({
    clock: asClass(SystemClock).singleton(),
    entryMetrics: asClass(EntryMetrics).singleton(),
    backendDispatcher: asValue(
      new HttpAgent({
        connections: backends.connections,
        pipelining: 1,
        connect: { timeout: backends.connect_timeout_ms },
        maxResponseSize: MAX_RESPONSE_BYTES,
      }),
    ),
    platform: asFunction(({ platformMeter }: { platformMeter: SocketMeter }) =>
      new HttpPlatform({
        url: platform.url,
        timeoutMs: platform.timeout_ms,
        meter: platformMeter,
      })
    ).singleton(),
    peers: asComponent(TrpcPeers),
    relayRole: asComponent(RelayRole),
    vmViewHolder: asClass(VmViewHolder).singleton(),
    prober: asComponent(Prober),
    probeFor: asFunction(({ prober }: { prober: Prober }) => (target: string) =>
      prober.probeFor(target)
    ).singleton(),
    modelServers: asFunction(({ backendDispatcher }) =>
      new HttpModelServers(backendDispatcher)
    ).singleton(),
    plainServices: asFunction(({ backendDispatcher }) =>
      new HttpPlainServices(
        backendDispatcher,
        new ResponseMemory(limits.max_responses_bytes),
      )
    ).singleton(),
    configurationLoader: asComponent(ConfigurationLoader),
    headFollower: asComponent(HeadFollower),
    freshnessMonitor: asComponent(FreshnessMonitor),
    holderReporter: asComponent(HolderReporter),
    vmListFollower: asComponent(VmListFollower),
    loadReportFollower: asComponent(LoadReportFollower),
    backendSelector: asComponent(BackendSelector),
    modelDispatcher: asComponent(ModelDispatcher),
    serviceDispatcher: asComponent(ServiceDispatcher),
    chatService: asComponent(ChatService),
    admissionController: asComponent(AdmissionController),
    requestRunner: asComponent(RequestRunner),
    chatEndpoint: asComponent(ChatEndpoint),
    serviceEndpoint: asComponent(ServiceEndpoint),
    addressBook: asComponent(AddressBook),
    callerServer: asComponent(CallerServer),
    peerServer: asComponent(PeerServer),
    operatorServer: asComponent(OperatorServer),
  });
}
