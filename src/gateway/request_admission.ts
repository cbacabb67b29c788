/**
 * Decides whether a request may run, and as what: once, when all of it has been read. Its
 * sender sent it before then, so however late its last try begins, no request runs that was
 * sent longer after the removal of its key than is allowed.
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
 * Part of the time allowed for the removal of keys after which a confirmation no longer
 * counts; the rest covers the way to the server and a slow VM.
 */
const USABLE_CONFIRMATION = 0.8;

/** What a request may run as, with all tries that it takes. */
export interface AdmittedRequest {
  readonly table: RouteTable;
  readonly route: Route;
  /** Undefined where the route needs no key. */
  readonly account: AccountId | undefined;
  readonly priority: number;
  /** Time since the configuration was confirmed as the newest, in milliseconds. */
  readonly confirmedAgeMs: number;
}

interface Deps {
  readonly routingFollower: RoutingFollower;
  readonly bounds: DeploymentBounds;
}

/** Checks route and key against the configuration in force. */
export class RequestAdmission {
  readonly #deps: Deps;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Returns what a request that has just been read may run as. */
  admit(exchange: CallerExchange): Result<AdmittedRequest, Refusal> {
    const { table } = this.#deps.routingFollower;
    if (table === undefined) return fail({ tag: "no_configuration" });
    const route = table.match(hostName(exchange.host), exchange.path);
    if (route === undefined) return fail({ tag: "unknown_route" });
    if (route.anonymous) return this.#admitted(table, { route });
    const found = table.lookUpKey(exchange.head.key);
    if (found.tag === "no_accounts") return this.#admitted(table, { route });
    const stale = this.#staleRefusal();
    // A key that is unknown here may be one that was added meanwhile.
    if (stale !== undefined) return fail(stale);
    if (found.tag === "unknown") return fail({ tag: "unknown_key" });
    const { id: account, priority } = found.account;
    return this.#admitted(table, { route, account, priority });
  }

  #admitted(
    table: RouteTable,
    { route, account, priority }: {
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
      confirmedAgeMs: this.#deps.routingFollower.confirmedAgeMs(),
    });
  }

  #staleRefusal(): Refusal | undefined {
    const { bounds, routingFollower } = this.#deps;
    if (!bounds.refuseUnconfirmedKeys) return undefined;
    const ageMs = routingFollower.confirmedAgeMs();
    if (ageMs < USABLE_CONFIRMATION * bounds.keyRemovalMs) return undefined;
    return { tag: "unconfirmed_keys", ageMs };
  }
}

function hostName(host: string): string {
  return host.replace(/:\d+$/, "");
}
