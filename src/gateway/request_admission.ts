/**
 * Decides whether a request may run, and with which route and account. This is decided once, after
 * the whole request has been read and thus sent. However late its last attempt starts, no request
 * runs that was sent more than the allowed time after the removal of its key.
 */

import type { AccountId } from "../core/ids.ts";
import type { Refusal } from "../core/refusal.ts";
import { fail, ok, type Result } from "../core/result.ts";
import type { Route } from "../core/routes/route.ts";
import type { RouteTable } from "../core/routes/route_table.ts";
import type { DeploymentBounds } from "../platform/vm_settings_wire.ts";
import type { RoutingFollower } from "../store/routing_follower.ts";
import type { CallerExchange } from "./caller_exchange.ts";

/**
 * Maximum age of a configuration confirmation, as a share of the time allowed for key removal.
 * The remainder covers the time to reach the server, and slow VMs.
 */
const MAX_CONFIRMATION_AGE = 0.8;

/** Time limit of a request whose caller states none; its route may set a lower one. */
const DEFAULT_TIME_LIMIT_MS = 30_000;

/** The route, account and priority under which all attempts at an admitted request run. */
export interface AdmittedRequest {
  readonly table: RouteTable;
  readonly route: Route;
  /** Undefined if the route requires no key. */
  readonly account: AccountId | undefined;
  readonly priority: number;
  /** Time limit of the request, from its arrival. */
  readonly limitMs: number;
  /** Time since the configuration was last confirmed as the newest. */
  readonly confirmedAgeMs: number;
}

interface Deps {
  readonly routingFollower: RoutingFollower;
  readonly bounds: DeploymentBounds;
}

/** Matches requests to routes and checks their keys against the active configuration. */
export class RequestAdmission {
  readonly #deps: Deps;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Admits or refuses a request that has just been read completely. */
  admit(exchange: CallerExchange): Result<AdmittedRequest, Refusal> {
    const { table } = this.#deps.routingFollower;
    if (table === undefined) return fail({ tag: "no_configuration" });
    const route = table.match(hostName(exchange.host), exchange.path);
    if (route === undefined) return fail({ tag: "unknown_route" });
    if (route.anonymous) return this.#admitted(exchange, { table, route });
    const found = table.lookUpKey(exchange.head.key);
    if (found.tag === "no_accounts") {
      return this.#admitted(exchange, { table, route });
    }
    const stale = this.#staleRefusal();
    // An unknown key may have been added since the last confirmation, so staleness comes first.
    if (stale !== undefined) return fail(stale);
    if (found.tag === "unknown") return fail({ tag: "unknown_key" });
    const { id: account, priority } = found.account;
    return this.#admitted(exchange, {
      table,
      route,
      account,
      priority,
    });
  }

  #admitted(
    { head }: CallerExchange,
    { table, route, account, priority }: {
      table: RouteTable;
      route: Route;
      account?: AccountId;
      priority?: number;
    },
  ): Result<AdmittedRequest, Refusal> {
    return ok({
      table,
      route,
      account,
      priority: priority ?? route.priority,
      limitMs: Math.min(
        head.timeoutMs ?? DEFAULT_TIME_LIMIT_MS,
        route.timeLimitMs ?? Infinity,
      ),
      confirmedAgeMs: this.#deps.routingFollower.confirmedAgeMs(),
    });
  }

  #staleRefusal(): Refusal | undefined {
    const { bounds, routingFollower } = this.#deps;
    if (!bounds.refuseUnconfirmedKeys) return undefined;
    const ageMs = routingFollower.confirmedAgeMs();
    if (ageMs < MAX_CONFIRMATION_AGE * bounds.keyRemovalMs) return undefined;
    return { tag: "unconfirmed_keys", ageMs };
  }
}

function hostName(host: string): string {
  return host.replace(/:\d+$/, "");
}
