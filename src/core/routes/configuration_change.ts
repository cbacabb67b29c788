/** Summarizes a change of the routing configuration for operators. */

import { isDeepStrictEqual } from "node:util";
import type { Route, RoutingConfiguration } from "./route.ts";

/** Maximum number of changed routes listed by name; `routesChanged` counts all. */
const MAX_LISTED_ROUTES = 5;

/** Differences between two configurations. */
export interface ConfigurationChangeSummary {
  readonly keysAdded: number;
  readonly keysWithdrawn: number;
  readonly routesAdded: number;
  readonly routesRemoved: number;
  readonly routesChanged: number;
  /** The first changed routes, each with the names of its changed fields. */
  readonly changed: string;
}

/** Returns a summary of the differences between two configurations. */
export function summarizeConfigurationChange(
  before: RoutingConfiguration,
  after: RoutingConfiguration,
): ConfigurationChangeSummary {
  const keys = countDifferences(keysOf(before), keysOf(after));
  const previousRoutes = new Map(
    before.routes.map((route) => [route.id, route]),
  );
  const ids = (routes: readonly Route[]) =>
    new Set<string>(routes.map(({ id }) => id));
  const routes = countDifferences(ids(before.routes), ids(after.routes));
  const changed = after.routes.flatMap((route) => {
    const previous = previousRoutes.get(route.id);
    const fields = previous === undefined ? [] : changedFields(previous, route);
    return fields.length === 0 ? [] : [`${route.id}: ${fields.join(" ")}`];
  });
  return {
    keysAdded: keys.added,
    keysWithdrawn: keys.removed,
    routesAdded: routes.added,
    routesRemoved: routes.removed,
    routesChanged: changed.length,
    changed: changed.slice(0, MAX_LISTED_ROUTES).join(", "),
  };
}

function keysOf({ accounts }: RoutingConfiguration): ReadonlySet<string> {
  return new Set((accounts ?? []).flatMap(({ keys }) => keys));
}

function countDifferences(
  before: ReadonlySet<string>,
  after: ReadonlySet<string>,
): { readonly added: number; readonly removed: number } {
  return {
    added: [...after].filter((item) => !before.has(item)).length,
    removed: [...before].filter((item) => !after.has(item)).length,
  };
}

function changedFields(before: Route, after: Route): string[] {
  const fields = Object.keys(after) as (keyof Route)[];
  return fields.filter((field) =>
    !isDeepStrictEqual(before[field], after[field])
  );
}
