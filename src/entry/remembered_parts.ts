/** Registers classes whose parts awilix looks up once, not at each use. */

import { asFunction, type BuildResolver } from "awilix";

type Parts = Record<string, unknown>;

const remembered = new WeakMap<Parts, Parts>();

/**
 * Returns a resolver of one instance of `Part`. Its parts are still looked up at first
 * use only, so that two parts may know each other.
 */
export function asPart<T, D>(Part: new (deps: D) => T): BuildResolver<T> {
  return asFunction((cradle: Parts) => new Part(remember(cradle) as D))
    .singleton();
}

/** One plain object for each container, whose properties become values at first use. */
function remember(cradle: Parts): Parts {
  const known = remembered.get(cradle);
  if (known !== undefined) return known;
  const parts: Parts = {};
  for (const name of Object.keys(cradle)) {
    Object.defineProperty(parts, name, {
      configurable: true,
      get: () => {
        const value = cradle[name];
        Object.defineProperty(parts, name, { value });
        return value;
      },
    });
  }
  remembered.set(cradle, parts);
  return parts;
}
