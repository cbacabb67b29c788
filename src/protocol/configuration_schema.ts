/** Schema of the declared configuration, both in files and on the platform. */

import * as z from "zod";
import type { Configuration, Section } from "../core/config/configuration.ts";
import type {
  AccountId,
  BackendId,
  CascadeId,
  DataCentreId,
  ModelId,
  RollOutId,
  ServiceId,
  Sha256,
  VersionId,
} from "../core/ids.ts";
import { nameSchema, sha256Schema } from "./ids_schema.ts";
import { strictObject } from "./strict_object.ts";

const DEFAULT_MAX_IN_FLIGHT = 200;
const DEFAULT_SLOTS = 16;
const DEFAULT_JUDGE_TOKENS = 16;
const DEFAULT_ESCALATE_BELOW = -0.7;

const accountSchema = strictObject({
  id: nameSchema<AccountId>().describe("Name of the client account"),
  keys: z.array(sha256Schema.transform((hex) => hex as Sha256)).min(1)
    .describe("SHA-256 of each API key, as `fieldrack hash-key` prints it"),
  models: z.array(z.string()).default([])
    .describe("Models and cascades that the account may use"),
  services: z.array(nameSchema<ServiceId>()).default([])
    .describe("Plain services that the account may call"),
  priority: z.enum(["interactive", "standard", "batch"]).default("standard")
    .describe("Order in which waiting requests are served"),
  max_in_flight: z.int().min(1).max(100_000).default(DEFAULT_MAX_IN_FLIGHT)
    .describe("Maximum number of requests in flight at one entry"),
});

const versionSchema = strictObject({
  id: nameSchema<VersionId>().describe("Name of the version within the model"),
  state: z.enum(["serving", "withdrawn"]).default("serving")
    .describe("Withdrawn versions receive no new work"),
  cost_per_1k_tokens: z.number().min(0).default(0)
    .describe("Price of 1000 generated tokens, in your own currency"),
});

const modelSchema = strictObject({
  id: nameSchema<ModelId>().describe("Name of the model"),
  stable: nameSchema<VersionId>()
    .describe(
      "Version that serves all sessions that no roll-out moves to another version",
    ),
  versions: z.array(versionSchema).min(1).describe("Versions of the model"),
});

const cascadeSchema = strictObject({
  id: nameSchema<CascadeId>().describe("Name of the cascade"),
  steps: z.array(z.string()).min(1)
    .describe(
      "Models or cascades in the order in which they are tried, cheapest first",
    ),
  escalate_below: z.number().max(0).default(DEFAULT_ESCALATE_BELOW)
    .describe("Mean token log-probability below which the next step is tried"),
  judge_tokens: z.int().min(1).max(1_000).default(DEFAULT_JUDGE_TOKENS)
    .describe(
      "Number of tokens of a stream to buffer before evaluating its confidence",
    ),
});

const rollOutSchema = strictObject({
  id: nameSchema<RollOutId>().describe("Name of the roll-out plan"),
  model: nameSchema<ModelId>().describe("Model whose traffic it moves"),
  to: nameSchema<VersionId>().describe("Version that it moves traffic to"),
  percent: z.number().min(0).max(100)
    .describe("Percentage of sessions on the new version"),
});

const routeSchema = strictObject({
  path: z.string().startsWith("/").describe("Path prefix within the service"),
  methods: z.array(z.enum(["GET", "POST", "PUT", "PATCH", "DELETE"])).min(1)
    .describe("HTTP methods that the route accepts"),
  repeatable: z.boolean()
    .describe("Whether the same call may safely be sent more than once"),
});

const serviceSchema = strictObject({
  id: nameSchema<ServiceId>().describe("Name of the plain service"),
  routes: z.array(routeSchema).min(1).describe(
    "Calls that the service accepts",
  ),
});

const backendSchema = strictObject({
  id: nameSchema<BackendId>().describe("Name of the backend server"),
  data_centre: nameSchema<DataCentreId>().describe(
    "Data centre of the backend server",
  ),
  url: z.url({ protocol: /^https?$/ }).describe(
    "Base URL, with an IP address as host",
  ),
  versions: z.array(strictObject({
    model: nameSchema<ModelId>().describe("Model"),
    version: nameSchema<VersionId>().describe("Version"),
  })).default([]).describe("Versions that a model server serves"),
  service: nameSchema<ServiceId>().optional()
    .describe("Plain service that the backend server is an instance of"),
  slots: z.int().min(1).max(100_000).default(DEFAULT_SLOTS)
    .describe("Number of requests that it processes concurrently"),
});

/** Schema of the entries of each section. */
export const ENTRY_SCHEMAS = {
  accounts: accountSchema,
  models: modelSchema,
  cascades: cascadeSchema,
  roll_outs: rollOutSchema,
  services: serviceSchema,
  backends: backendSchema,
} as const satisfies Record<Section, z.ZodType>;

/** Schema of a whole configuration. */
export const configurationSchema: z.ZodType<Configuration> = strictObject({
  accounts: z.array(accountSchema),
  models: z.array(modelSchema),
  cascades: z.array(cascadeSchema),
  roll_outs: z.array(rollOutSchema),
  services: z.array(serviceSchema),
  backends: z.array(backendSchema),
});
