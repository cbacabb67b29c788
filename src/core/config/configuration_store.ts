/** The configuration in force at one entry; its revision never falls. */

import { NO_REVISION, type Revision, type Sha256 } from "../ids.ts";
import type { Configuration } from "./configuration.ts";
import { ConfigurationIndex } from "./configuration_index.ts";
import type { Head } from "./stored_configuration.ts";

/** One object: its text, to pass on, and what it holds. */
export interface LoadedObject {
  readonly text: string;
  readonly entries: unknown[];
}

/** A head with all its objects. */
export interface LoadedConfiguration {
  readonly head: Head;
  readonly objects: ReadonlyMap<Sha256, LoadedObject>;
  readonly configuration: Configuration;
}

/** Earlier heads from which changes can be told to others. */
const KEPT_HEADS = 16;

/** Holds the configuration in force, and its objects for other entries. */
export class ConfigurationStore {
  #loaded: LoadedConfiguration | undefined;
  #heads: Head[] = [];
  #index: ConfigurationIndex | undefined;
  readonly #listeners: ((index: ConfigurationIndex) => void)[] = [];

  /** Revision in force. */
  get revision(): Revision {
    return this.#loaded?.head.revision ?? NO_REVISION;
  }

  /** Head in force. */
  get head(): Head | undefined {
    return this.#loaded?.head;
  }

  /** An earlier head, if it is still kept. */
  earlierHead(revision: Revision): Head | undefined {
    return this.#heads.find((head) => head.revision === revision);
  }

  /** Look-ups over the configuration in force; undefined before the first. */
  get index(): ConfigurationIndex | undefined {
    return this.#index;
  }

  /** An object of the configuration in force. */
  object(sha256: Sha256): LoadedObject | undefined {
    return this.#loaded?.objects.get(sha256);
  }

  /** Calls `listener` after each change. */
  onChange(listener: (index: ConfigurationIndex) => void): void {
    this.#listeners.push(listener);
  }

  /** Puts a configuration in force unless a later one is; returns whether it did. */
  offer(loaded: LoadedConfiguration): boolean {
    if (loaded.head.revision <= this.revision) return false;
    this.#loaded = loaded;
    this.#heads = [loaded.head, ...this.#heads].slice(0, KEPT_HEADS);
    this.#index = new ConfigurationIndex(
      loaded.head.revision,
      loaded.configuration,
    );
    for (const listener of this.#listeners) listener(this.#index);
    return true;
  }
}
