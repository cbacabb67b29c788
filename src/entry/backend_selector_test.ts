import assert from "node:assert/strict";
import { beforeEach, describe, test } from "node:test";
import { EMPTY_CONFIGURATION } from "../core/config/configuration.ts";
import { ConfigurationStore } from "../core/config/configuration_store.ts";
import {
  Freshness,
  MAX_CONFIRMATION_AGE_MS,
} from "../core/config/freshness.ts";
import type { BackendId, RequestId, Revision, Sha256 } from "../core/ids.ts";
import { PowerOfTwoChooser } from "../core/routing/server_chooser.ts";
import { ServerPool } from "../core/routing/server_pool.ts";
import { entrySettings } from "../../tests/fixtures/entry_settings.ts";
import { Deadline } from "../runtime/deadline.ts";
import { BackendSelector } from "./backend_selector.ts";

const KEY = "0".repeat(64) as Sha256;
const SERVERS = ["a", "b"] as BackendId[];

const configuration = {
  ...EMPTY_CONFIGURATION,
  accounts: [{
    id: "nursery",
    keys: [KEY],
    models: ["m"],
    services: ["tills"],
  }],
  models: [{
    id: "m",
    stable: "v1",
    versions: [{ id: "v1", state: "serving" }],
  }],
  services: [{ id: "tills", routes: [] }],
  backends: SERVERS.map((id) => ({
    id,
    versions: [{ model: "m", version: "v1" }],
    slots: 1,
  })),
};

describe("backend selector", () => {
  let nowMs: number;
  let pool: ServerPool;
  let selector: BackendSelector;
  let store: ConfigurationStore;

  const deadline = new Deadline(1);
  deadline.close();
  const ctx = {
    requestId: "r" as RequestId,
    keyHash: KEY,
    account: configuration.accounts[0] as never,
    stickyKey: "r",
    deadline,
  };

  function accept(revision: number, changes: object = {}): void {
    const head = {
      revision: revision as Revision,
      objects: [],
      accepted: [],
      accepted_at_ms: 0,
    };
    const changed = { ...configuration, ...changes } as never;
    store.offer({ head, objects: new Map(), configuration: changed });
  }

  beforeEach(() => {
    nowMs = 0;
    pool = new ServerPool();
    store = new ConfigurationStore();
    const freshness = new Freshness();
    freshness.confirm(0);
    selector = new BackendSelector({
      configurationStore: store,
      freshness,
      serverPool: pool,
      serverChooser: new PowerOfTwoChooser(pool, () => 0),
      settings: entrySettings(),
      clock: { monotonicMs: () => nowMs, wallMs: () => nowMs },
    });
    accept(1);
  });

  function target() {
    const plan = selector.plan(ctx, "m");
    assert.ok(plan.ok && plan.value[0]);
    return selector.selectTarget(plan.value[0], { ctx, tried: new Set() });
  }

  test("should return the time until the first ejected server becomes available", () => {
    for (const [at, id] of SERVERS.entries()) {
      for (let refusal = 0; refusal <= at; refusal++) {
        pool.begin(id);
        pool.end(id, { outcome: "refused", nowMs: 0 });
      }
    }
    nowMs = 400;
    const none = target();
    assert.deepEqual(none, {
      ok: false,
      error: { tag: "no_server", wanted: "m", retryAfterMs: 600 },
    });
  });

  test("should reject access that was revoked since the last attempt", () => {
    assert.ok(selector.plan(ctx, "m").ok);
    accept(2, {
      accounts: [{ ...configuration.accounts[0], models: [], services: [] }],
    });
    const plan = selector.plan(ctx, "m");
    assert.ok(!plan.ok && plan.error.tag === "not_allowed");
    const service = selector.planService(ctx, "tills");
    assert.ok(!service.ok && service.error.tag === "not_allowed");
  });

  test("should reject all requests once the configuration confirmation has expired", () => {
    nowMs = MAX_CONFIRMATION_AGE_MS + 1;
    for (
      const plan of [
        selector.plan(ctx, "m"),
        selector.planService(ctx, "tills"),
      ]
    ) {
      assert.ok(!plan.ok && plan.error.tag === "not_ready");
    }
  });
});
