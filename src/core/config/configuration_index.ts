/** Indexes over a configuration, built once per revision. */

import type {
  BackendId,
  ModelId,
  Revision,
  ServiceId,
  Sha256,
  VersionId,
} from "../ids.ts";
import type {
  Account,
  BackendServer,
  Cascade,
  Configuration,
  Model,
  ModelVersion,
  PlainService,
  RollOut,
} from "./configuration.ts";

/** Lookups for the request path, without scanning the configuration. */
export class ConfigurationIndex {
  readonly revision: Revision;
  readonly configuration: Configuration;
  readonly #accountsByKey = new Map<Sha256, Account>();
  readonly #models: Map<string, Model>;
  readonly #cascades: Map<string, Cascade>;
  readonly #services: Map<string, PlainService>;
  readonly #backends: Map<BackendId, BackendServer>;
  readonly #rollOutsByModel: Map<ModelId, RollOut>;
  readonly #serversByVersion = new Map<string, BackendServer[]>();
  readonly #serversByService = new Map<ServiceId, BackendServer[]>();

  constructor(revision: Revision, configuration: Configuration) {
    this.revision = revision;
    this.configuration = configuration;
    this.#models = byId(configuration.models);
    this.#cascades = byId(configuration.cascades);
    this.#services = byId(configuration.services);
    this.#backends = byId(configuration.backends);
    this.#rollOutsByModel = new Map(
      configuration.roll_outs.map((r) => [r.model, r]),
    );
    for (const account of configuration.accounts) {
      for (const key of account.keys) this.#accountsByKey.set(key, account);
    }
    for (const backend of configuration.backends) this.#addServer(backend);
  }

  /** Returns the account that owns the API key with this hash. */
  accountByKey(keyHash: Sha256): Account | undefined {
    return this.#accountsByKey.get(keyHash);
  }

  /** Returns the model with this name. */
  model(name: string): Model | undefined {
    return this.#models.get(name);
  }

  /** Returns the cascade with this name. */
  cascade(name: string): Cascade | undefined {
    return this.#cascades.get(name);
  }

  /** Returns the plain service with this name. */
  service(name: string): PlainService | undefined {
    return this.#services.get(name);
  }

  /** Returns the backend server with this id. */
  backend(id: BackendId): BackendServer | undefined {
    return this.#backends.get(id);
  }

  /** Returns a declared version of a model, even if it is withdrawn. */
  version(model: ModelId, version: VersionId): ModelVersion | undefined {
    return this.#models.get(model)?.versions.find((v) => v.id === version);
  }

  /** Returns the roll-out of a model, if there is one. */
  rollOut(model: ModelId): RollOut | undefined {
    return this.#rollOutsByModel.get(model);
  }

  /** Returns the model servers that are declared to serve a version. */
  serversForVersion(
    model: ModelId,
    version: VersionId,
  ): readonly BackendServer[] {
    return this.#serversByVersion.get(versionKey(model, version)) ?? [];
  }

  /** Returns the declared instances of a plain service. */
  serversForService(service: ServiceId): readonly BackendServer[] {
    return this.#serversByService.get(service) ?? [];
  }

  #addServer(backend: BackendServer): void {
    for (const { model, version } of backend.versions) {
      append(this.#serversByVersion, {
        key: versionKey(model, version),
        backend,
      });
    }
    if (backend.service !== undefined) {
      append(this.#serversByService, { key: backend.service, backend });
    }
  }
}

/** Returns a unique key for a version of a model; neither name contains an `@`. */
export function versionKey(model: ModelId, version: VersionId): string {
  return `${model}@${version}`;
}

function byId<T extends { readonly id: string }>(
  entries: readonly T[],
): Map<T["id"], T> {
  return new Map(entries.map((entry) => [entry.id, entry]));
}

function append<K>(
  map: Map<K, BackendServer[]>,
  { key, backend }: { key: K; backend: BackendServer },
): void {
  const list = map.get(key);
  if (list === undefined) map.set(key, [backend]);
  else list.push(backend);
}
