/** Schema of the settings file of an entry. */

import * as z from "zod";
import type { DataCentreId, EntryId } from "../core/ids.ts";
import { addressSchema, nameSchema } from "./ids_schema.ts";
import { strictObject } from "./strict_object.ts";

const BYTES_PER_MIB = 1024 * 1024;

/** Schema of the settings file. */
export const settingsSchema = strictObject({
  entry: strictObject({
    id: nameSchema<EntryId>().describe("Name of this entry VM; unique"),
    data_centre: nameSchema<DataCentreId>().describe(
      "Data centre of this entry VM",
    ),
  }),
  listen: strictObject({
    callers: addressSchema.describe("Address to which callers connect"),
    peers: addressSchema.describe("Address to which other entry VMs connect"),
    operators: addressSchema
      .describe("Address to which operators and their metrics system connect"),
  }),
  platform: strictObject({
    url: z.url().describe("Base URL of the platform's object API"),
    timeout_ms: z.int().min(10).max(60_000).default(2_000)
      .describe("Timeout of a call other than a watch"),
  }),
  peers: strictObject({
    secret_file: z.string().optional()
      .describe("File with the secret that entry VMs share"),
    secret: z.string().min(16).optional()
      .describe("The secret itself, for tests only; otherwise use secret_file"),
    advertise: addressSchema.optional()
      .describe(
        "Address advertised to other entry VMs, if different from listen.peers",
      ),
    seeds: z.array(addressSchema).default([])
      .describe(
        "Other entry VMs to contact while the platform's list is unavailable",
      ),
    probe_interval_ms: z.int().min(50).max(60_000).default(1_000)
      .describe("Interval between probes of other entry VMs"),
    probe_timeout_ms: z.int().min(10).max(10_000).default(500)
      .describe("Timeout of a probe"),
  }),
  limits: strictObject({
    max_body_bytes: z.int().min(1_024).default(8 * BYTES_PER_MIB)
      .describe("Maximum body size of a caller's request"),
    max_in_flight: z.int().min(1).default(4_000)
      .describe("Maximum number of requests in flight at this entry"),
    max_connections: z.int().min(1).default(10_000)
      .describe(
        "Maximum number of connections from callers; beyond it the one that has waited longest for its client is closed",
      ),
    max_peer_connections: z.int().min(1).default(1_024)
      .describe("Maximum number of connections from other entry VMs"),
    max_operator_connections: z.int().min(1).default(64)
      .describe(
        "Maximum number of connections from operators and their metrics system",
      ),
    max_bodies_bytes: z.int().min(1_024).default(256 * BYTES_PER_MIB)
      .describe(
        "Maximum size of the bodies of all requests in flight, and a quarter more for those of up to 16 KiB; 503 beyond it",
      ),
    max_bytes_ahead: z.int().min(1_024).default(64 * BYTES_PER_MIB)
      .describe(
        "Maximum size of incomplete heads, and of what callers send while an earlier request on their connection is under way",
      ),
    max_responses_bytes: z.int().min(1_024).default(256 * BYTES_PER_MIB)
      .describe(
        "Maximum size of the responses of plain services that have not arrived in full; the largest fails beyond it",
      ),
    max_unread_bytes: z.int().min(1_024).default(256 * BYTES_PER_MIB)
      .describe(
        "Maximum size of the responses that callers have not read; beyond it the connection that has waited longest is closed",
      ),
    deadline_ms: z.int().min(100).max(3_600_000).default(120_000)
      .describe("Deadline of a request if its caller sets none"),
    header_timeout_ms: z.int().min(100).default(10_000)
      .describe("Timeout for receiving the headers of a request"),
    body_timeout_ms: z.int().min(100).default(30_000)
      .describe("Timeout for receiving a complete request"),
  }).prefault({}),
  callers: strictObject({
    address_max_age_s: z.int().min(1).max(3_600).default(30)
      .describe("How long callers may cache a response of /addresses"),
    drain_grace_ms: z.int().min(0).default(5_000)
      .describe(
        "Additional wait after address_max_age_s before a planned stop",
      ),
  }).prefault({}),
  backends: strictObject({
    subset_size: z.int().min(1).default(24)
      .describe(
        "Backend servers of one version or service that this entry uses",
      ),
    connections: z.int().min(1).default(128)
      .describe("Maximum number of connections to one backend server"),
    connect_timeout_ms: z.int().min(10).default(1_000)
      .describe("Timeout for establishing a connection"),
    report_interval_ms: z.int().min(50).default(1_000)
      .describe("Minimum interval between load reports of one model server"),
    reports_per_second: z.number().min(0.1).default(8)
      .describe("Maximum rate at which this entry requests load reports"),
  }).prefault({}),
});

/** Validated settings of an entry. */
export type Settings = z.infer<typeof settingsSchema>;
