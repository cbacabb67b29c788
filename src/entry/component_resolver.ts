/** Awilix resolvers whose dependencies are looked up once instead of at each access. */

import { asFunction, type BuildResolver } from "awilix";

type Dependencies = Record<string, unknown>;

const dependenciesByCradle = new WeakMap<Dependencies, Dependencies>();

/**
 * Creates a resolver for a singleton of `Component`. Dependencies are looked up at first access,
 * so that two components may depend on each other.
 */
export function asComponent<T, D>(
  Component: new (deps: D) => T,
): BuildResolver<T> {
  return asFunction((cradle: Dependencies) =>
    new Component(cachedDependencies(cradle) as D)
  )
    .singleton();
}

/** Returns one plain object per container, whose getters are replaced by values at first access. */
function cachedDependencies(cradle: Dependencies): Dependencies {
  const cached = dependenciesByCradle.get(cradle);
  if (cached !== undefined) return cached;
  const dependencies: Dependencies = {};
  for (const name of Object.keys(cradle)) {
    Object.defineProperty(dependencies, name, {
      configurable: true,
      get: () => {
        const value = cradle[name];
        Object.defineProperty(dependencies, name, { value });
        return value;
      },
    });
  }
  dependenciesByCradle.set(cradle, dependencies);
  return dependencies;
}
