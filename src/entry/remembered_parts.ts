/** Registers classes whose parts awilix looks up once, not at each use. */

import { asFunction, type BuildResolver } from "awilix";

type Parts = Record<PropertyKey, unknown>;

/**
 * Returns a resolver of one instance of `Part`. Its parts are still looked up at first
 * use only, so that two parts may know each other.
 */
export function asPart<T, D>(Part: new (deps: D) => T): BuildResolver<T> {
  return asFunction((cradle: Parts) => new Part(remember(cradle) as D))
    .singleton();
}

function remember(cradle: Parts): Parts {
  return new Proxy<Parts>({}, {
    get: (known, name) => known[name] ??= cradle[name],
  });
}
