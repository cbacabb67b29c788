/** Loads the objects of a head from the platform or another entry VM. */

import * as z from "zod";
import type { Section } from "../core/config/configuration.ts";
import type {
  ConfigurationStore,
  LoadedConfiguration,
  LoadedObject,
} from "../core/config/configuration_store.ts";
import { joinConfiguration } from "../core/config/object_split.ts";
import {
  type Head,
  objectKey,
  type ObjectRef,
} from "../core/config/stored_configuration.ts";
import type { Sha256 } from "../core/ids.ts";
import { fail, ok, type Result } from "../core/result.ts";
import type { Peers } from "../peers/peers.ts";
import { describePlatformError, type Platform } from "../platform/platform.ts";
import { ENTRY_SCHEMAS } from "../protocol/configuration_schema.ts";
import { sha256 } from "../runtime/hashing.ts";

const MAX_PARALLEL_FETCHES = 8;

interface Deps {
  readonly platform: Platform;
  /** Absent if objects are fetched from the platform only. */
  readonly peers?: Peers;
  readonly configurationStore: ConfigurationStore;
}

/** Loads configurations; objects already in the store are not fetched again. */
export class ConfigurationLoader {
  readonly #deps: Deps;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /**
   * Returns the configuration of `head`; objects are fetched from `peer` first, then the platform.
   */
  async load(
    head: Head,
    peer?: string,
  ): Promise<Result<LoadedConfiguration, string>> {
    const objects = new Map<Sha256, LoadedObject>();
    const missing: ObjectRef[] = [];
    for (const ref of head.objects) {
      const known = this.#deps.configurationStore.object(ref.sha256);
      if (known === undefined) missing.push(ref);
      else objects.set(ref.sha256, known);
    }
    for (let at = 0; at < missing.length; at += MAX_PARALLEL_FETCHES) {
      const batch = missing.slice(at, at + MAX_PARALLEL_FETCHES);
      const fetched = await Promise.all(
        batch.map((ref) => this.#loadObject(ref, peer)),
      );
      for (const [index, object] of fetched.entries()) {
        if (!object.ok) return object;
        objects.set((batch[index] as ObjectRef).sha256, object.value);
      }
    }
    const contents = head.objects.map(({ sha256 }) =>
      objects.get(sha256)?.entries ?? []
    );
    const configuration = joinConfiguration(head.objects, contents);
    return ok({ head, objects, configuration });
  }

  /** Fetches and parses an object; this happens once, however many revisions contain it. */
  async #loadObject(
    ref: ObjectRef,
    peer: string | undefined,
  ): Promise<Result<LoadedObject, string>> {
    const text = await this.#fetch(ref.sha256, peer);
    if (!text.ok) return text;
    const entries = parseObject(ref, text.value);
    return entries.ok
      ? ok({ text: text.value, entries: entries.value })
      : entries;
  }

  async #fetch(
    hash: Sha256,
    peer: string | undefined,
  ): Promise<Result<string, string>> {
    if (peer !== undefined) {
      const text = await this.#deps.peers?.object(peer, hash);
      if (text?.ok && sha256(text.value) === hash) return text;
    }
    const object = await this.#deps.platform.get(objectKey(hash));
    if (!object.ok) return fail(describePlatformError(object.error));
    if (sha256(object.value.value) !== hash) {
      return fail(`Content of object ${hash} does not match its hash`);
    }
    return ok(object.value.value);
  }
}

const SECTION_SCHEMAS = Object.fromEntries(
  Object.entries(ENTRY_SCHEMAS).map((
    [section, schema],
  ) => [section, z.array(schema)]),
) as unknown as Record<Section, z.ZodType<unknown[]>>;

function parseObject(
  { section }: ObjectRef,
  text: string,
): Result<unknown[], string> {
  try {
    const parsed = SECTION_SCHEMAS[section].safeParse(JSON.parse(text));
    if (parsed.success) return ok(parsed.data);
    const issue = parsed.error.issues[0];
    return fail(`Object in section ${section} is invalid: ${issue?.message}`);
  } catch (err) {
    return fail(
      `Object in section ${section} is not valid JSON: ${
        (err as Error).message
      }`,
    );
  }
}
