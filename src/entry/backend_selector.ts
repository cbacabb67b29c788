/** Selects the backend server for the next attempt of a request. */

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

/** Retry delay for callers if it is unknown when a server becomes available. */
const DEFAULT_RETRY_AFTER_MS = 1_000;

/** A selected model server and the version to run on it. */
export interface Target {
  readonly server: BackendServer;
  readonly step: CascadeStep;
  readonly version: ModelVersion;
  /** Revision of the configuration that the selection is based on. */
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
 * Selects servers. Each call uses the configuration in force at that time, so that retries and
 * escalations follow revisions accepted in the meantime.
 */
export class BackendSelector {
  readonly #deps: Deps;
  readonly #subsets = new Map<string, readonly BackendServer[]>();

  constructor(deps: Deps) {
    this.#deps = deps;
    deps.configurationStore.onChange(() => this.#subsets.clear());
  }

  /** Returns the cascade steps of the requested name, if the account currently allows it. */
  plan(ctx: RequestContext, name: string): Result<CascadeStep[], RequestError> {
    const account = this.#account(ctx);
    if (!account.ok) return account;
    return planCascade(this.#index(), { account: account.value, name });
  }

  /** Selects a server for a step; versions are considered in order of preference. */
  selectTarget(
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
    const unavailable: BackendServer[] = [];
    for (const version of versions) {
      const candidates = this.#subset(
        `${model.id}@${version.id}`,
        () => index.serversForVersion(model.id, version.id),
      );
      const server = this.#choose(candidates, tried);
      if (server !== undefined) {
        return ok({ server, step, version, revision: index.revision });
      }
      unavailable.push(...candidates);
    }
    return fail(this.#noServer(model.id, unavailable));
  }

  /** Returns the plain service of the requested name, if the account currently allows it. */
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

  /** Selects a server for a call of a plain service. */
  selectServiceServer(
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

  /** Returns all model servers that this entry uses; their load reports are needed. */
  modelServersInUse(): BackendServer[] {
    const { index } = this.#deps.configurationStore;
    if (index === undefined) return [];
    const serversInUse = new Map<BackendId, BackendServer>();
    for (const model of index.configuration.models) {
      for (const version of model.versions) {
        const subset = this.#subset(
          `${model.id}@${version.id}`,
          () => index.serversForVersion(model.id, version.id),
        );
        for (const server of subset) serversInUse.set(server.id, server);
      }
    }
    return [...serversInUse.values()];
  }

  /**
   * Checked before each attempt, because the process may have been suspended since the last one.
   */
  #account({ keyHash }: RequestContext): Result<Account, RequestError> {
    const { configurationStore, freshness, clock } = this.#deps;
    if (!freshness.isFresh(clock.monotonicMs())) {
      const reason =
        "its configuration has not been confirmed by the platform or other entries in time";
      return fail({
        tag: "not_ready",
        reason,
        retryAfterMs: DEFAULT_RETRY_AFTER_MS,
      });
    }
    const account = configurationStore.index?.accountByKey(keyHash);
    if (account !== undefined) return ok(account);
    return fail({ tag: "unauthorised", reason: "Key is no longer valid" });
  }

  #index(): ConfigurationIndex {
    // Defined: an account was found, and a configuration is only ever replaced by a later revision.
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
    const cached = this.#subsets.get(key);
    if (cached !== undefined) return cached;
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

  /** Callers are told to retry when the first ejected or backing-off server becomes available. */
  #noServer(
    wanted: string,
    candidates: readonly BackendServer[],
  ): RequestError {
    const { serverPool, clock } = this.#deps;
    const nowMs = clock.monotonicMs();
    const waitsMs = candidates
      .map(({ id }) => serverPool.availableInMs(id, nowMs))
      .filter((waitMs) => waitMs > 0);
    const retryAfterMs = waitsMs.length === 0
      ? DEFAULT_RETRY_AFTER_MS
      : Math.ceil(Math.min(...waitsMs));
    return { tag: "no_server", wanted, retryAfterMs };
  }
}
