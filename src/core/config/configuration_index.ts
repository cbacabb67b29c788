/** Look-ups over one configuration, built once for each revision. */

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

/** Answers what the request path asks of a configuration, without searching. */
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

  /** Account that owns an API key with this hash. */
  accountByKey(keyHash: Sha256): Account | undefined {
    return this.#accountsByKey.get(keyHash);
  }

  /** Model of this name. */
  model(name: string): Model | undefined {
    return this.#models.get(name);
  }

  /** Cascade of this name. */
  cascade(name: string): Cascade | undefined {
    return this.#cascades.get(name);
  }

  /** Plain service of this name. */
  service(name: string): PlainService | undefined {
    return this.#services.get(name);
  }

  /** Backend server of this name. */
  backend(id: BackendId): BackendServer | undefined {
    return this.#backends.get(id);
  }

  /** Declared version, also when it is withdrawn. */
  version(model: ModelId, version: VersionId): ModelVersion | undefined {
    return this.#models.get(model)?.versions.find((v) => v.id === version);
  }

  /** Roll-out that moves a model. */
  rollOut(model: ModelId): RollOut | undefined {
    return this.#rollOutsByModel.get(model);
  }

  /** Model servers that are declared to serve a version. */
  serversOf(model: ModelId, version: VersionId): readonly BackendServer[] {
    return this.#serversByVersion.get(versionKey(model, version)) ?? [];
  }

  /** Backend servers that are declared to run a plain service. */
  serversOfService(service: ServiceId): readonly BackendServer[] {
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

/** Returns one key for a version of a model; neither name holds an `@`. */
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
