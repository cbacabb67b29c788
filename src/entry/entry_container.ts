/** Wires the parts of an entry together. */

import {
  asClass,
  asFunction,
  asValue,
  type AwilixContainer,
  createContainer,
  InjectionMode,
} from "awilix";
import { Agent } from "undici";
import { FreshnessKeeper } from "../configuration/freshness_keeper.ts";
import { HolderReporter } from "../configuration/holder_reporter.ts";
import { HttpModelServers } from "../backends/http_model_servers.ts";
import { HttpPlainServices } from "../backends/http_plain_services.ts";
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
import { SocketMeter } from "../runtime/socket_meter.ts";
import type { Logger } from "../runtime/logger.ts";
import { AddressBook } from "./address_book.ts";
import { Admission } from "./admission.ts";
import { BackendSelector } from "./backend_selector.ts";
import { CallerGate } from "./caller_gate.ts";
import { CallerServer } from "./caller_server.ts";
import { ChatEndpoint } from "./chat_endpoint.ts";
import { ChatService } from "./chat_service.ts";
import { ConfigurationFollower } from "../configuration/configuration_follower.ts";
import { ConfigurationLoader } from "../configuration/configuration_loader.ts";
import { LoadReportFollower } from "./load_report_follower.ts";
import { ModelDispatcher } from "./model_dispatcher.ts";
import { OperatorServer } from "./operator_server.ts";
import { asPart } from "./remembered_parts.ts";
import { ServiceDispatcher } from "./service_dispatcher.ts";
import { ServiceEndpoint } from "./service_endpoint.ts";
import { VmListFollower } from "./vm_list_follower.ts";

/** What an entry is built from. */
export interface EntryOptions {
  readonly settings: Settings;
  /** Secret that entry VMs share. */
  readonly peerSecret: string;
  readonly logger: Logger;
}

/** Parts that the process starts and stops, by name. */
export interface EntryParts {
  readonly clock: Clock;
  readonly memberTable: MemberTable;
  readonly configurationStore: ConfigurationStore;
  readonly inFlightLimits: InFlightLimits;
  readonly backendDispatcher: Agent;
  readonly platform: HttpPlatform;
  readonly peers: TrpcPeers;
  readonly prober: Prober;
  readonly configurationFollower: ConfigurationFollower;
  readonly freshnessKeeper: FreshnessKeeper;
  readonly holderReporter: HolderReporter;
  readonly vmListFollower: VmListFollower;
  readonly loadReportFollower: LoadReportFollower;
  readonly callerServer: CallerServer;
  readonly peerServer: PeerServer;
  readonly operatorServer: OperatorServer;
}

/** Returns a container with all parts of one entry. */
export function createEntryContainer(
  options: EntryOptions,
): AwilixContainer<EntryParts> {
  const container = createContainer<EntryParts>({
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
        // Grows with each start, as no state outlives the process.
        incarnation: clock.wallMs(),
        state: "alive",
        revision: NO_REVISION,
      })
    ).singleton(),
  });
}

function registerEdges(container: AwilixContainer, settings: Settings): void {
  const { platform, backends } = settings;
  container.register({
    clock: asClass(SystemClock).singleton(),
    entryMetrics: asClass(EntryMetrics).singleton(),
    backendDispatcher: asValue(
      new Agent({
        connections: backends.connections,
        pipelining: 1,
        connect: { timeout: backends.connect_timeout_ms },
      }),
    ),
    platform: asFunction(({ platformMeter }: { platformMeter: SocketMeter }) =>
      new HttpPlatform({
        url: platform.url,
        timeoutMs: platform.timeout_ms,
        meter: platformMeter,
      })
    ).singleton(),
    peers: asPart(TrpcPeers),
    relayRole: asPart(RelayRole),
    vmViewHolder: asClass(VmViewHolder).singleton(),
    prober: asPart(Prober),
    probeFor: asFunction(({ prober }: { prober: Prober }) => (target: string) =>
      prober.probeFor(target)
    ).singleton(),
    modelServers: asFunction(({ backendDispatcher }) =>
      new HttpModelServers(backendDispatcher)
    ).singleton(),
    plainServices: asFunction(({ backendDispatcher }) =>
      new HttpPlainServices(backendDispatcher)
    ).singleton(),
    configurationLoader: asPart(ConfigurationLoader),
    configurationFollower: asPart(ConfigurationFollower),
    freshnessKeeper: asPart(FreshnessKeeper),
    holderReporter: asPart(HolderReporter),
    vmListFollower: asPart(VmListFollower),
    loadReportFollower: asPart(LoadReportFollower),
    backendSelector: asPart(BackendSelector),
    modelDispatcher: asPart(ModelDispatcher),
    serviceDispatcher: asPart(ServiceDispatcher),
    chatService: asPart(ChatService),
    callerGate: asPart(CallerGate),
    admission: asPart(Admission),
    chatEndpoint: asPart(ChatEndpoint),
    serviceEndpoint: asPart(ServiceEndpoint),
    addressBook: asPart(AddressBook),
    callerServer: asPart(CallerServer),
    peerServer: asPart(PeerServer),
    operatorServer: asPart(OperatorServer),
  });
}
