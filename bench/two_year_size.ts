/** The size that the users expect within two years, and a configuration of that size. */

import type { Configuration } from "../src/core/config/configuration.ts";
import { hashKey } from "../tests/fixtures/test_fleet.ts";

/** Figures of the users' first letter; bytes and milliseconds a second where a rate. */
export const TWO_YEAR_SIZE = {
  entries: 390,
  servers: 2_400,
  versions: 23,
  dataCentres: 7,
  changesPerDay: 6_500,
  requestsPerSecond: 7_700,
  tokensPerSecond: 3_600_000,
} as const;

/** Client accounts are not in the letter; this many are assumed. */
const ACCOUNTS = 500;

/** Returns a configuration of that size, whose servers are never contacted. */
export function largeConfiguration(): Configuration {
  const { servers, versions, dataCentres } = TWO_YEAR_SIZE;
  const models = Array.from({ length: versions }, (_, at) => ({
    id: `model-${at}`,
    stable: "v1",
    versions: [{ id: "v1", state: "serving", cost_per_1k_tokens: 1 }],
  }));
  const backends = Array.from({ length: servers }, (_, at) => ({
    id: `server-${at}`,
    data_centre: `dc-${at % dataCentres}`,
    url: `http://10.${at % dataCentres}.${Math.floor(at / 250)}.${
      at % 250
    }:8000`,
    versions: [],
    service: "tills",
    slots: 16,
  }));
  const accounts = Array.from({ length: ACCOUNTS }, (_, at) => ({
    id: `account-${at}`,
    keys: [hashKey(`key-${at}`)],
    models: models.map(({ id }) => id),
    services: ["tills"],
    priority: "standard",
    max_in_flight: 200,
  }));
  const services = [{
    id: "tills",
    routes: [{ path: "/", methods: ["GET"], repeatable: true }],
  }];
  const cfg = {
    accounts,
    models,
    cascades: [],
    roll_outs: [],
    services,
    backends,
  };
  return cfg as unknown as Configuration;
}

/** Returns the same configuration with one account changed. */
export function withChange(cfg: Configuration, change: number): Configuration {
  const accounts = cfg.accounts.map((account, at) =>
    at === change % cfg.accounts.length
      ? { ...account, max_in_flight: 201 + change }
      : account
  );
  return { ...cfg, accounts };
}
