/** Deployment size that the users expect within two years, and a configuration of this size. */

import type { Configuration } from "../src/core/config/configuration.ts";
import { hashKey } from "../tests/fixtures/test_fleet.ts";

/** Expected size as given by the users. */
export const TWO_YEAR_SIZE = {
  entries: 390,
  servers: 2_400,
  versions: 23,
  dataCentres: 7,
  changesPerDay: 6_500,
  requestsPerSecond: 7_700,
  tokensPerSecond: 3_600_000,
} as const;

/** Number of client accounts; an assumption, since the users gave no figure. */
const ACCOUNT_COUNT = 500;

/** Returns a configuration of the two-year size, whose servers do not exist. */
export function largeConfiguration(): Configuration {
  const { servers, versions, dataCentres } = TWO_YEAR_SIZE;
  const models = Array.from({ length: versions }, (_, index) => ({
    id: `model-${index}`,
    stable: "v1",
    versions: [{ id: "v1", state: "serving", cost_per_1k_tokens: 1 }],
  }));
  const backends = Array.from({ length: servers }, (_, index) => ({
    id: `server-${index}`,
    data_centre: `dc-${index % dataCentres}`,
    url: `http://10.${index % dataCentres}.${Math.floor(index / 250)}.${
      index % 250
    }:8000`,
    versions: [],
    service: "tills",
    slots: 16,
  }));
  const accounts = Array.from({ length: ACCOUNT_COUNT }, (_, index) => ({
    id: `account-${index}`,
    keys: [hashKey(`key-${index}`)],
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

/** Returns a copy of the configuration with a different in-flight limit of one account. */
export function withChange(cfg: Configuration, change: number): Configuration {
  const accounts = cfg.accounts.map((account, index) =>
    index === change % cfg.accounts.length
      ? { ...account, max_in_flight: 201 + change }
      : account
  );
  return { ...cfg, accounts };
}
