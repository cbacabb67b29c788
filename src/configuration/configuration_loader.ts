/** Fetches the objects of a head, from the platform or from another entry VM. */

import { z } from "zod";
import type { Section } from "../core/config/configuration.ts";
import type {
  ConfigurationStore,
  LoadedConfiguration,
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

/** Objects fetched at once. */
const PARALLEL_FETCHES = 8;

interface Deps {
  readonly platform: Platform;
  /** Absent where only the platform can be asked. */
  readonly peers?: Peers;
  readonly configurationStore: ConfigurationStore;
}

/** Loads configurations; what is known already is not fetched again. */
export class ConfigurationLoader {
  readonly #deps: Deps;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Returns the configuration of `head`; `peer` is asked before the platform. */
  async load(
    head: Head,
    peer?: string,
  ): Promise<Result<LoadedConfiguration, string>> {
    const texts = new Map<Sha256, string>();
    const missing: Sha256[] = [];
    for (const { sha256 } of head.objects) {
      const known = this.#deps.configurationStore.objectText(sha256);
      if (known === undefined) missing.push(sha256);
      else texts.set(sha256, known);
    }
    for (let at = 0; at < missing.length; at += PARALLEL_FETCHES) {
      const some = missing.slice(at, at + PARALLEL_FETCHES);
      const fetched = await Promise.all(
        some.map((hash) => this.#fetch(hash, peer)),
      );
      for (const [index, text] of fetched.entries()) {
        if (!text.ok) return text;
        texts.set(some[index] as Sha256, text.value);
      }
    }
    return parseObjects(head, texts);
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
      return fail(`Object ${hash} has other content`);
    }
    return ok(object.value.value);
  }
}

function parseObjects(
  head: Head,
  texts: ReadonlyMap<Sha256, string>,
): Result<LoadedConfiguration, string> {
  const contents: unknown[] = [];
  for (const ref of head.objects) {
    const entries = parseObject(ref, texts.get(ref.sha256) as string);
    if (!entries.ok) return entries;
    contents.push(entries.value);
  }
  const configuration = joinConfiguration(head.objects, contents);
  return ok({ head, texts, configuration });
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
    return fail(`Object of ${section} is not understood: ${issue?.message}`);
  } catch (err) {
    return fail(`Object of ${section} is not JSON: ${(err as Error).message}`);
  }
}
