/** Finds the server that a request goes to next, by the configuration in force. */

import type {
  Account,
  BackendServer,
  ModelVersion,
  PlainService,
} from "../core/config/configuration.ts";
import type { ConfigurationIndex } from "../core/config/configuration_index.ts";
import { type CascadeStep, planCascade } from "../core/cascade/cascade_plan.ts";
import type { ConfigurationStore } from "../core/config/configuration_store.ts";
import type { Freshness } from "../core/config/freshness.ts";
import type { BackendId, Revision, ServiceId } from "../core/ids.ts";
import type { RequestError } from "../core/request_error.ts";
import { fail, ok, type Result } from "../core/result.ts";
import type { ServerChooser } from "../core/routing/server_chooser.ts";
import type { ServerPool } from "../core/routing/server_pool.ts";
import { chooseSubset } from "../core/routing/server_subset.ts";
import { versionsInOrder } from "../core/routing/version_choice.ts";
import type { Settings } from "../protocol/settings_schema.ts";
import type { Clock } from "../runtime/clock.ts";
import { unitHash } from "../runtime/hashing.ts";
import type { RequestContext } from "./request_context.ts";

/** When a caller should come back if nothing tells when a server will be there. */
const RETRY_AFTER_MS = 1_000;

/** A model server and the version it is to use. */
export interface Target {
  readonly server: BackendServer;
  readonly step: CascadeStep;
  readonly version: ModelVersion;
  /** Revision of the configuration by which this was decided. */
  readonly revision: Revision;
}

interface Deps {
  readonly configurationStore: ConfigurationStore;
  readonly freshness: Freshness;
  readonly serverPool: ServerPool;
  readonly serverChooser: ServerChooser;
  readonly settings: Settings;
  readonly clock: Clock;
}

/**
 * Selects servers. It looks the configuration up anew at each call, so that a
 * retry or an escalation sees what has been accepted meanwhile.
 */
export class BackendSelector {
  readonly #deps: Deps;
  readonly #subsets = new Map<string, readonly BackendServer[]>();

  constructor(deps: Deps) {
    this.#deps = deps;
    deps.configurationStore.onChange(() => this.#subsets.clear());
  }

  /** Steps for the name that a caller gave, by what its account allows now. */
  plan(ctx: RequestContext, name: string): Result<CascadeStep[], RequestError> {
    const account = this.#account(ctx);
    if (!account.ok) return account;
    return planCascade(this.#index(), { account: account.value, name });
  }

  /** Server for one step; versions are tried in order of preference. */
  target(
    step: CascadeStep,
    { ctx, tried }: { ctx: RequestContext; tried: ReadonlySet<BackendId> },
  ): Result<Target, RequestError> {
    const index = this.#index();
    const { model } = step;
    const versions = versionsInOrder({
      index,
      model,
      stickyKey: ctx.stickyKey,
      unitHash,
    });
    const seen: BackendServer[] = [];
    for (const version of versions) {
      const candidates = this.#subset(
        `${model.id}@${version.id}`,
        () => index.serversForVersion(model.id, version.id),
      );
      const server = this.#choose(candidates, tried);
      if (server !== undefined) {
        return ok({ server, step, version, revision: index.revision });
      }
      seen.push(...candidates);
    }
    return fail(this.#noServer(model.id, seen));
  }

  /** Plain service of the name that a caller gave, by what its account allows now. */
  planService(
    ctx: RequestContext,
    name: string,
  ): Result<PlainService, RequestError> {
    const account = this.#account(ctx);
    if (!account.ok) return account;
    const service = this.#index().service(name);
    if (service === undefined) return fail({ tag: "unknown_service", name });
    if (account.value.services.includes(service.id)) return ok(service);
    return fail({ tag: "not_allowed", name });
  }

  /** Server for a call of a plain service. */
  serviceServer(
    service: ServiceId,
    tried: ReadonlySet<BackendId>,
  ): Result<BackendServer, RequestError> {
    const candidates = this.#subset(
      service,
      () => this.#index().serversForService(service),
    );
    const server = this.#choose(candidates, tried);
    if (server !== undefined) return ok(server);
    return fail(this.#noServer(service, candidates));
  }

  /** All servers that this entry uses, for load reports. */
  usedModelServers(): BackendServer[] {
    const { index } = this.#deps.configurationStore;
    if (index === undefined) return [];
    const used = new Map<BackendId, BackendServer>();
    for (const model of index.configuration.models) {
      for (const version of model.versions) {
        const subset = this.#subset(
          `${model.id}@${version.id}`,
          () => index.serversForVersion(model.id, version.id),
        );
        for (const server of subset) used.set(server.id, server);
      }
    }
    return [...used.values()];
  }

  /** Looked up before each try: a process may have been frozen since the last. */
  #account({ keyHash }: RequestContext): Result<Account, RequestError> {
    const { configurationStore, freshness, clock } = this.#deps;
    if (!freshness.isFresh(clock.monotonicMs())) {
      const reason =
        "it has lost touch with the platform and the other entries";
      return fail({ tag: "not_ready", reason, retryAfterMs: RETRY_AFTER_MS });
    }
    const account = configurationStore.index?.accountByKey(keyHash);
    if (account !== undefined) return ok(account);
    return fail({ tag: "unauthorised", reason: "Key is no longer valid" });
  }

  #index(): ConfigurationIndex {
    // An account was found, so there is a configuration, and its revision never falls.
    return this.#deps.configurationStore.index as ConfigurationIndex;
  }

  #choose(
    candidates: readonly BackendServer[],
    tried: ReadonlySet<BackendId>,
  ): BackendServer | undefined {
    const nowMs = this.#deps.clock.monotonicMs();
    return this.#deps.serverChooser.choose({ candidates, tried, nowMs });
  }

  #subset(
    key: string,
    servers: () => readonly BackendServer[],
  ): readonly BackendServer[] {
    const known = this.#subsets.get(key);
    if (known !== undefined) return known;
    const { entry, backends } = this.#deps.settings;
    const subset = chooseSubset(servers(), {
      entry: entry.id,
      dataCentre: entry.data_centre,
      size: backends.subset_size,
      unitHash,
    });
    this.#subsets.set(key, subset);
    return subset;
  }

  /** Callers are told to come back when the first ejected server is tried again. */
  #noServer(
    wanted: string,
    candidates: readonly BackendServer[],
  ): RequestError {
    const { serverPool, clock } = this.#deps;
    const nowMs = clock.monotonicMs();
    const waits = candidates
      .map(({ id }) => serverPool.availableInMs(id, nowMs))
      .filter((waitMs) => waitMs > 0);
    const retryAfterMs = waits.length === 0
      ? RETRY_AFTER_MS
      : Math.ceil(Math.min(...waits));
    return { tag: "no_server", wanted, retryAfterMs };
  }
}
