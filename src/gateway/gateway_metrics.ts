/** Prometheus metrics of the gateway. */

import { Counter, Gauge, Histogram, Registry } from "prom-client";

const LATENCY_BUCKETS_S = [0.025, 0.05, 0.1, 0.2, 0.5, 1, 2, 4, 8, 16, 32];

/** All metrics of one gateway. */
export class GatewayMetrics {
  readonly registry = new Registry();

  readonly requests = new Counter({
    name: "fieldrack_gateway_requests_total",
    help: "Completed requests, by service and outcome",
    labelNames: ["service", "outcome"] as const,
    registers: [this.registry],
  });

  readonly refusals = new Counter({
    name: "fieldrack_gateway_refusals_total",
    help: "Requests refused without an answer of a backend server, by reason",
    labelNames: ["reason"] as const,
    registers: [this.registry],
  });

  readonly closedConnections = new Counter({
    name: "fieldrack_gateway_closed_connections_total",
    help: "Connections of clients closed beyond a limit, by listener and limit",
    labelNames: ["listener", "reason"] as const,
    registers: [this.registry],
  });

  readonly streamsCut = new Counter({
    name: "fieldrack_gateway_streams_cut_total",
    help: "Streams ended by this VM before they were complete, by reason",
    labelNames: ["reason"] as const,
    registers: [this.registry],
  });

  readonly attempts = new Counter({
    name: "fieldrack_gateway_tries_total",
    help: "Attempts at backend servers, by service and outcome",
    labelNames: ["service", "outcome"] as const,
    registers: [this.registry],
  });

  readonly unackedAttempts = new Gauge({
    name: "fieldrack_gateway_unacked_attempts",
    help: "Attempts not yet acknowledged by their backend servers, by service",
    labelNames: ["service"] as const,
    registers: [this.registry],
  });

  readonly ackedAttempts = new Counter({
    name: "fieldrack_gateway_acked_attempts_total",
    help: "Attempts acknowledged by their backend servers, by service and by " +
      "what showed it",
    labelNames: ["service", "evidence"] as const,
    registers: [this.registry],
  });

  readonly serverExits = new Counter({
    name: "fieldrack_gateway_server_ends_total",
    help:
      "Attempts interrupted by the exit of their backend server, by service",
    labelNames: ["service"] as const,
    registers: [this.registry],
  });

  readonly backoffRequests = new Counter({
    name: "fieldrack_gateway_rests_asked_total",
    help: "Requests rejected by backend servers that asked this VM " +
      "to back off, by service",
    labelNames: ["service"] as const,
    registers: [this.registry],
  });

  readonly advertisedLimits = new Counter({
    name: "fieldrack_gateway_limits_named_total",
    help: "Answers with a rate limit of the backend server for all VMs, " +
      "by service",
    labelNames: ["service"] as const,
    registers: [this.registry],
  });

  readonly brittleRejections = new Counter({
    name: "fieldrack_gateway_brittle_rejections_total",
    help: "Requests rejected for want of room by brittle servers, by service",
    labelNames: ["service"] as const,
    registers: [this.registry],
  });

  readonly brittleServers = new Gauge({
    name: "fieldrack_gateway_brittle_servers",
    help: "Backend servers that bear only few rejections",
    registers: [this.registry],
  });

  readonly suspectedRequests = new Gauge({
    name: "fieldrack_gateway_suspected_requests",
    help:
      "Requests in flight at recent backend server exits, as known to this VM",
    registers: [this.registry],
  });

  readonly poisonRequests = new Gauge({
    name: "fieldrack_gateway_poison_requests",
    help: "Requests and prompt parts considered to crash backend servers, " +
      "as known to this VM",
    registers: [this.registry],
  });

  readonly duration = new Histogram({
    name: "fieldrack_gateway_request_seconds",
    help: "Time to the complete answer in seconds, by service",
    labelNames: ["service"] as const,
    buckets: LATENCY_BUCKETS_S,
    registers: [this.registry],
  });

  readonly configurationVersion = new Gauge({
    name: "fieldrack_gateway_configuration_version",
    help: "Version of the configuration in force; 0 before the first",
    registers: [this.registry],
  });

  readonly confirmationAge = new Gauge({
    name: "fieldrack_gateway_confirmation_age_seconds",
    help:
      "Time in seconds since the configuration was last confirmed as the newest",
    registers: [this.registry],
  });

  readonly storeCalls = new Counter({
    name: "fieldrack_gateway_store_calls_total",
    help: "Calls to the platform's store, by outcome",
    labelNames: ["outcome"] as const,
    registers: [this.registry],
  });

  readonly storeEra = new Gauge({
    name: "fieldrack_gateway_store_era",
    help: "Era of the platform's store, which rises with each restore; " +
      "0 if the store reports none",
    registers: [this.registry],
  });

  readonly servers = new Gauge({
    name: "fieldrack_gateway_servers",
    help: "Known backend servers",
    registers: [this.registry],
  });

  readonly unreadableServers = new Gauge({
    name: "fieldrack_gateway_unreadable_servers",
    help: "Entries in the list of backend servers that cannot be decoded",
    registers: [this.registry],
  });

  readonly coldServers = new Gauge({
    name: "fieldrack_gateway_cold_servers",
    help: "Cold backend servers, as known to this VM",
    registers: [this.registry],
  });

  readonly serversInBackoff = new Gauge({
    name: "fieldrack_gateway_resting_servers",
    help:
      "Backend servers that have asked this VM to back off and still are in that period",
    registers: [this.registry],
  });

  readonly rateLimitedServers = new Gauge({
    name: "fieldrack_gateway_limited_servers",
    help: "Backend servers with a rate limit for all VMs",
    registers: [this.registry],
  });

  readonly leavingServers = new Gauge({
    name: "fieldrack_gateway_leaving_servers",
    help: "Backend servers that have announced their shutdown in an answer",
    registers: [this.registry],
  });

  readonly evacuatedDataCentres = new Gauge({
    name: "fieldrack_gateway_evacuated_data_centres",
    help: "Data centres whose backend servers get no new work from this VM",
    registers: [this.registry],
  });

  readonly forwardedRequests = new Counter({
    name: "fieldrack_gateway_forwarded_requests_total",
    help: "Requests sent to another VM for want of a reachable server, " +
      "by outcome",
    labelNames: ["outcome"] as const,
    registers: [this.registry],
  });

  readonly declinedForwards = new Counter({
    name: "fieldrack_gateway_declined_forwards_total",
    help: "Requests forwarded by other VMs that this VM declined",
    registers: [this.registry],
  });

  readonly serverContactAge = new Gauge({
    name: "fieldrack_gateway_server_contact_age_seconds",
    help:
      "Time in seconds since the last contact with any backend server, by service",
    labelNames: ["service"] as const,
    registers: [this.registry],
  });

  readonly unreachableServices = new Gauge({
    name: "fieldrack_gateway_unreachable_service",
    help: "1 while no backend server can be reached from this VM, by service",
    labelNames: ["service"] as const,
    registers: [this.registry],
  });

  readonly members = new Gauge({
    name: "fieldrack_gateway_vms",
    help: "Other entry VMs that are not considered dead by this VM",
    registers: [this.registry],
  });
}
