/** The routing configuration in force; versions decide which of two is the later one. */

import { summarizeConfigurationChange } from "../core/routes/configuration_change.ts";
import type { RoutingConfiguration } from "../core/routes/route.ts";
import { RouteTable } from "../core/routes/route_table.ts";
import { describeDecodeError } from "../platform/decode_error.ts";
import type { StoreListing } from "../platform/object_store.ts";
import {
  CONFIGURATION_NAME,
  decodeConfiguration,
} from "../platform/routing_wire.ts";
import type { LogContext, Logger } from "../runtime/logger.ts";

/** Keeps the latest configuration that the store or another VM has shown. */
export class ConfigurationInForce {
  readonly #logger: Logger;
  readonly #listeners: ((table: RouteTable) => void)[] = [];
  #table: RouteTable | undefined;
  /** As its operator wrote it. */
  #spec: unknown;
  /** Latest era in which the store has shown this version; undefined if never. */
  #shownInEra: number | undefined;

  constructor(logger: Logger) {
    this.#logger = logger;
  }

  /** Undefined until the first configuration has been read. */
  get table(): RouteTable | undefined {
    return this.#table;
  }

  /** Registers a listener for new configurations. */
  onChange(listener: (table: RouteTable) => void): void {
    this.#listeners.push(listener);
  }

  /**
   * Spec of the configuration, if the store has not shown it in the given era and a VM with the
   * given version lacks it.
   */
  unstoredSpec(
    { era, theirVersion }: { era: number; theirVersion: number | undefined },
  ): unknown {
    const version = this.#table?.version;
    if (version === undefined || theirVersion === undefined) return undefined;
    if (this.#shownInEra === era || theirVersion >= version) return undefined;
    return this.#spec;
  }

  /** Applies a read of the store; returns whether it confirms that there is no later version. */
  applyRead({ objects, era }: StoreListing): boolean {
    const current = objects.find(({ name }) => name === CONFIGURATION_NAME);
    // A configuration that can't be decoded may withdraw a key, so it confirms nothing.
    if (current === undefined || !this.apply(current.spec, era)) return false;
    // A restored store that has an older version than the one in force has lost what it had
    // acknowledged, possibly also the removal of a key that this VM does not know of.
    return era === this.#shownInEra;
  }

  /**
   * Applies a configuration that the store has shown in the given era, or one from another VM
   * without an era; returns whether it could be decoded. An older version is ignored.
   */
  apply(spec: unknown, era?: number): boolean {
    const decoded = decodeConfiguration(spec);
    if (!decoded.ok) {
      this.#logger.warn(
        "Configuration could not be decoded; keeping the last configuration",
        { reason: describeDecodeError(decoded.error) },
      );
      return false;
    }
    const configuration = decoded.value;
    const before = this.#table?.configuration;
    if (before === undefined || configuration.version > before.version) {
      this.#replace({ configuration, spec, era });
    } else if (configuration.version === before.version && era !== undefined) {
      this.#shownInEra = Math.max(this.#shownInEra ?? era, era);
    }
    return true;
  }

  #replace(
    { configuration, spec, era }: {
      configuration: RoutingConfiguration;
      spec: unknown;
      era: number | undefined;
    },
  ): void {
    const before = this.#table?.configuration;
    this.#table = new RouteTable(configuration);
    this.#spec = spec;
    this.#shownInEra = era;
    for (const listener of this.#listeners) listener(this.#table);
    this.#logger.info("Configuration is in force", {
      version: configuration.version,
      before: before?.version,
      era: era ?? "told by another VM",
      routes: configuration.routes.length,
      accounts: configuration.accounts?.length,
      ...(before === undefined ? {} : changeContext(before, configuration)),
    });
  }
}

function changeContext(
  before: RoutingConfiguration,
  after: RoutingConfiguration,
): LogContext {
  const change = summarizeConfigurationChange(before, after);
  return {
    keys_added: change.keysAdded,
    keys_withdrawn: change.keysWithdrawn,
    routes_added: change.routesAdded,
    routes_removed: change.routesRemoved,
    routes_changed: change.routesChanged,
    changed: change.changed,
  };
}
