/** Counters, gauges and histograms of the gateway, in the Prometheus form. */

import { Counter, Gauge, Histogram, Registry } from "prom-client";

const LATENCY_BUCKETS_S = [0.025, 0.05, 0.1, 0.2, 0.5, 1, 2, 4, 8, 16, 32];

/** All metrics of one gateway. */
export class GatewayMetrics {
  readonly registry = new Registry();

  readonly requests = new Counter({
    name: "fieldrack_gateway_requests_total",
    help: "Requests that ended, by service and outcome",
    labelNames: ["service", "outcome"] as const,
    registers: [this.registry],
  });

  readonly refusals = new Counter({
    name: "fieldrack_gateway_refusals_total",
    help: "Requests that got no server's answer, by reason",
    labelNames: ["reason"] as const,
    registers: [this.registry],
  });

  readonly streamsCut = new Counter({
    name: "fieldrack_gateway_streams_cut_total",
    help: "Streams ended here before they were whole, by reason",
    labelNames: ["reason"] as const,
    registers: [this.registry],
  });

  readonly tries = new Counter({
    name: "fieldrack_gateway_tries_total",
    help: "Tries at backend servers, by service and outcome",
    labelNames: ["service", "outcome"] as const,
    registers: [this.registry],
  });

  readonly unackedAttempts = new Gauge({
    name: "fieldrack_gateway_unacked_attempts",
    help: "Attempts that their servers have not shown to have read, by service",
    labelNames: ["service"] as const,
    registers: [this.registry],
  });

  readonly serverEnds = new Counter({
    name: "fieldrack_gateway_server_ends_total",
    help: "Tries that broke off as their server had ended, by service",
    labelNames: ["service"] as const,
    registers: [this.registry],
  });

  readonly restsAsked = new Counter({
    name: "fieldrack_gateway_rests_asked_total",
    help: "Requests turned away by servers that want nothing from this VM " +
      "for a while, by service",
    labelNames: ["service"] as const,
    registers: [this.registry],
  });

  readonly limitsNamed = new Counter({
    name: "fieldrack_gateway_limits_named_total",
    help: "Answers in which servers named how much they take from all VMs, " +
      "by service",
    labelNames: ["service"] as const,
    registers: [this.registry],
  });

  readonly suspectedRequests = new Gauge({
    name: "fieldrack_gateway_suspected_requests",
    help: "Requests under which servers have ended lately, as known here",
    registers: [this.registry],
  });

  readonly poisonRequests = new Gauge({
    name: "fieldrack_gateway_poison_requests",
    help: "Requests that are taken to crash servers, as known here",
    registers: [this.registry],
  });

  readonly duration = new Histogram({
    name: "fieldrack_gateway_request_seconds",
    help: "Time to the whole answer, in seconds, by service",
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
    help: "Time since the configuration was last confirmed as the newest",
    registers: [this.registry],
  });

  readonly servers = new Gauge({
    name: "fieldrack_gateway_servers",
    help: "Backend servers that are known",
    registers: [this.registry],
  });

  readonly unreadableServers = new Gauge({
    name: "fieldrack_gateway_unreadable_servers",
    help: "Entries in the list of backend servers that name none",
    registers: [this.registry],
  });

  readonly coldServers = new Gauge({
    name: "fieldrack_gateway_cold_servers",
    help: "Backend servers that are cold, as far as is known here",
    registers: [this.registry],
  });

  readonly restingServers = new Gauge({
    name: "fieldrack_gateway_resting_servers",
    help: "Backend servers that have asked this VM for rest that is not over",
    registers: [this.registry],
  });

  readonly limitedServers = new Gauge({
    name: "fieldrack_gateway_limited_servers",
    help: "Backend servers that take only so many requests from all VMs",
    registers: [this.registry],
  });

  readonly leavingServers = new Gauge({
    name: "fieldrack_gateway_leaving_servers",
    help: "Backend servers that have said in an answer that they leave",
    registers: [this.registry],
  });

  readonly evacuatedDataCentres = new Gauge({
    name: "fieldrack_gateway_evacuated_data_centres",
    help: "Data centres whose servers get no new work from here",
    registers: [this.registry],
  });

  readonly members = new Gauge({
    name: "fieldrack_gateway_vms",
    help: "Other entry VMs that are not dead, as seen here",
    registers: [this.registry],
  });
}
