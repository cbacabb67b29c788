/** The configuration in force on this entry VM; its revision never decreases. */

import { NO_REVISION, type Revision, type Sha256 } from "../ids.ts";
import type { Configuration } from "./configuration.ts";
import { ConfigurationIndex } from "./configuration_index.ts";
import type { Head } from "./stored_configuration.ts";

/** A stored object: its text, for forwarding to other entry VMs, and its parsed entries. */
export interface LoadedObject {
  readonly text: string;
  readonly entries: unknown[];
}

/** A head with all the objects that it references. */
export interface LoadedConfiguration {
  readonly head: Head;
  readonly objects: ReadonlyMap<Sha256, LoadedObject>;
  readonly configuration: Configuration;
}

/** Number of heads kept, so that other entry VMs can be sent the difference from an earlier one. */
const MAX_RETAINED_HEADS = 16;

/** Holds the configuration in force, and its objects for other entry VMs. */
export class ConfigurationStore {
  #loaded: LoadedConfiguration | undefined;
  #heads: Head[] = [];
  #index: ConfigurationIndex | undefined;
  readonly #listeners: ((index: ConfigurationIndex) => void)[] = [];

  /** Revision in force, or `NO_REVISION` before the first configuration. */
  get revision(): Revision {
    return this.#loaded?.head.revision ?? NO_REVISION;
  }

  /** Head in force; undefined before the first configuration. */
  get head(): Head | undefined {
    return this.#loaded?.head;
  }

  /** Returns the head of a revision, if it is still retained. */
  earlierHead(revision: Revision): Head | undefined {
    return this.#heads.find((head) => head.revision === revision);
  }

  /** Index of the configuration in force; undefined before the first configuration. */
  get index(): ConfigurationIndex | undefined {
    return this.#index;
  }

  /** Returns an object of the configuration in force. */
  object(sha256: Sha256): LoadedObject | undefined {
    return this.#loaded?.objects.get(sha256);
  }

  /** Registers a listener that is called after each change of the configuration. */
  onChange(listener: (index: ConfigurationIndex) => void): void {
    this.#listeners.push(listener);
  }

  /** Puts a configuration in force if its revision is later; returns whether it did. */
  offer(loaded: LoadedConfiguration): boolean {
    if (loaded.head.revision <= this.revision) return false;
    this.#loaded = loaded;
    this.#heads = [loaded.head, ...this.#heads].slice(0, MAX_RETAINED_HEADS);
    this.#index = new ConfigurationIndex(
      loaded.head.revision,
      loaded.configuration,
    );
    for (const listener of this.#listeners) listener(this.#index);
    return true;
  }
}
