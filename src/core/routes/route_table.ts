/** Looks up the route and the client account of a request. */

import type { ApiKey, ServiceId } from "../ids.ts";
import type {
  KeyedAccount,
  Route,
  RoutingConfiguration,
  Service,
} from "./route.ts";

/** Result of an API key lookup: its account, or why there is none. */
export type KeyLookup =
  | { readonly tag: "no_accounts" }
  | { readonly tag: "unknown" }
  | { readonly tag: "account"; readonly account: KeyedAccount };

/** Immutable index of a routing configuration. */
export class RouteTable {
  readonly configuration: RoutingConfiguration;
  readonly #byHost = new Map<string, Route[]>();
  readonly #services = new Map<ServiceId, Service>();
  readonly #accounts = new Map<ApiKey, KeyedAccount>();

  constructor(configuration: RoutingConfiguration) {
    this.configuration = configuration;
    for (const route of configuration.routes) this.#addRoute(route);
    for (const service of configuration.services) {
      this.#services.set(service.id, service);
    }
    for (const account of configuration.accounts ?? []) {
      for (const key of account.keys) this.#accounts.set(key, account);
    }
  }

  /** Version of the configuration. */
  get version(): number {
    return this.configuration.version;
  }

  /** Returns the route of this host with the longest matching prefix of `path`. */
  match(host: string, path: string): Route | undefined {
    const routes = this.#byHost.get(host.toLowerCase());
    return routes?.find((route) => path.startsWith(route.pathPrefix));
  }

  /** Returns a declared service. */
  service(id: ServiceId): Service | undefined {
    return this.#services.get(id);
  }

  /** Returns the account that an API key belongs to. */
  lookUpKey(key: ApiKey | undefined): KeyLookup {
    if (this.configuration.accounts === undefined) {
      return { tag: "no_accounts" };
    }
    const account = key === undefined ? undefined : this.#accounts.get(key);
    if (account === undefined) return { tag: "unknown" };
    return { tag: "account", account };
  }

  #addRoute(route: Route): void {
    const host = route.host.toLowerCase();
    const routes = this.#byHost.get(host) ?? [];
    routes.push(route);
    routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    this.#byHost.set(host, routes);
  }
}
