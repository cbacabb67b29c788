/** Says what a configuration changes for requests, as far as an operator asks of it. */

import { isDeepStrictEqual } from "node:util";
import type { Route, RoutingConfiguration } from "./route.ts";

/** Routes that are named; the count tells of the others. */
const MOST_NAMED = 5;

/** What differs between two configurations. */
export interface ConfigurationChange {
  readonly keysAdded: number;
  readonly keysWithdrawn: number;
  readonly routesAdded: number;
  readonly routesRemoved: number;
  readonly routesChanged: number;
  /** First changed routes, each with the names of its changed fields. */
  readonly changed: string;
}

/** Compares two configurations. */
export function configurationChange(
  before: RoutingConfiguration,
  after: RoutingConfiguration,
): ConfigurationChange {
  const keys = counted(keysOf(before), keysOf(after));
  const known = new Map(before.routes.map((route) => [route.id, route]));
  const ids = (routes: readonly Route[]) =>
    new Set<string>(routes.map(({ id }) => id));
  const routes = counted(ids(before.routes), ids(after.routes));
  const changed = after.routes.flatMap((route) => {
    const old = known.get(route.id);
    const fields = old === undefined ? [] : changedFields(old, route);
    return fields.length === 0 ? [] : [`${route.id}: ${fields.join(" ")}`];
  });
  return {
    keysAdded: keys.added,
    keysWithdrawn: keys.removed,
    routesAdded: routes.added,
    routesRemoved: routes.removed,
    routesChanged: changed.length,
    changed: changed.slice(0, MOST_NAMED).join(", "),
  };
}

function keysOf({ accounts }: RoutingConfiguration): ReadonlySet<string> {
  return new Set((accounts ?? []).flatMap(({ keys }) => keys));
}

function counted(
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
