/** Prometheus metrics of an entry. */

import {
  collectDefaultMetrics,
  Counter,
  Gauge,
  Histogram,
  Registry,
} from "prom-client";

const LATENCY_BUCKETS_S = [
  0.001,
  0.0025,
  0.005,
  0.01,
  0.025,
  0.05,
  0.1,
  0.25,
  0.5,
  0.94,
  2,
  5,
  15,
  60,
];

/** All metrics of one entry. */
export class EntryMetrics {
  readonly registry = new Registry();

  readonly requests = new Counter({
    name: "fieldrack_requests_total",
    help: "Requests answered, by kind, account and outcome",
    labelNames: ["kind", "account", "outcome"] as const,
    registers: [this.registry],
  });

  readonly answers = new Counter({
    name: "fieldrack_answers_total",
    help: "Answers forwarded to callers, by model and version",
    labelNames: ["model", "version"] as const,
    registers: [this.registry],
  });

  readonly tokens = new Counter({
    name: "fieldrack_tokens_total",
    help: "Generated tokens, by model and version",
    labelNames: ["model", "version"] as const,
    registers: [this.registry],
  });

  readonly escalations = new Counter({
    name: "fieldrack_escalations_total",
    help: "Cascade escalations to the next step, by model and reason",
    labelNames: ["model", "reason"] as const,
    registers: [this.registry],
  });

  readonly attempts = new Counter({
    name: "fieldrack_backend_tries_total",
    help: "Attempts at backend servers, by outcome",
    labelNames: ["outcome"] as const,
    registers: [this.registry],
  });

  readonly duration = new Histogram({
    name: "fieldrack_request_seconds",
    help: "Time to the complete answer in seconds",
    labelNames: ["kind"] as const,
    buckets: LATENCY_BUCKETS_S,
    registers: [this.registry],
  });

  readonly firstToken = new Histogram({
    name: "fieldrack_first_token_seconds",
    help: "Time to the first event of a stream in seconds",
    buckets: LATENCY_BUCKETS_S,
    registers: [this.registry],
  });

  readonly revision = new Gauge({
    name: "fieldrack_configuration_revision",
    help: "Revision of the active configuration",
    registers: [this.registry],
  });

  readonly members = new Gauge({
    name: "fieldrack_entries",
    help: "Other entry VMs that are not considered dead by this VM",
    registers: [this.registry],
  });

  readonly platformCalls = new Counter({
    name: "fieldrack_platform_calls_total",
    help: "Platform calls, by kind and outcome",
    labelNames: ["kind", "outcome"] as const,
    registers: [this.registry],
  });

  readonly controlBytes = new Gauge({
    name: "fieldrack_control_bytes",
    help:
      "Bytes exchanged with other entry VMs and the platform since the process started",
    labelNames: ["link", "direction"] as const,
    registers: [this.registry],
  });

  readonly probes = new Counter({
    name: "fieldrack_peer_probes_total",
    help: "Probes of other entry VMs, by outcome",
    labelNames: ["outcome"] as const,
    registers: [this.registry],
  });

  constructor() {
    collectDefaultMetrics({ register: this.registry });
  }
}
