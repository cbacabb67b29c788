/** Reads a directory of YAML files into one validated configuration. */

import { readdirSync } from "node:fs";
import { Buffer } from "node:buffer";
import { join } from "node:path";
import * as z from "zod";
import {
  type Configuration,
  type Section,
  SECTIONS,
} from "../core/config/configuration.ts";
import { checkReferences } from "../core/config/reference_check.ts";
import { splitConfiguration } from "../core/config/object_split.ts";
import { MAX_VALUE_BYTES } from "../core/config/stored_configuration.ts";
import { fail, ok, type Result } from "../core/result.ts";
import { ENTRY_SCHEMAS } from "../protocol/configuration_schema.ts";
import { strictObject } from "../protocol/strict_object.ts";
import { sha256 } from "../runtime/hashing.ts";
import type { FileProblem } from "./file_problem.ts";
import { YamlFile } from "./yaml_file.ts";

const YAML_EXTENSION = /\.ya?ml$/;

const fileSchema = strictObject(
  Object.fromEntries(
    SECTIONS.map((
      section,
    ) => [section, z.array(ENTRY_SCHEMAS[section]).optional()]),
  ),
).nullable();

/** File and position at which an entry of the configuration is declared. */
interface EntrySource {
  readonly yaml: YamlFile;
  /** Index within the section of that file. */
  readonly index: number;
}

/**
 * Merges all YAML files in `directory` (not in subfolders) and validates the result; fails with
 * all problems found.
 */
export function readConfigurationDirectory(
  directory: string,
): Result<Configuration, FileProblem[]> {
  const names = listFiles(directory);
  if (!names.ok) return names;
  const problems: FileProblem[] = [];
  const merged = new MergedConfiguration();
  for (const name of names.value) {
    const yaml = YamlFile.read(join(directory, name), name);
    const checked = yaml.ok ? yaml.value.check(fileSchema) : yaml;
    if (!checked.ok) problems.push(...checked.error);
    else if (yaml.ok) {
      merged.add(yaml.value, checked.value as Partial<Configuration>);
    }
  }
  if (problems.length > 0) return fail(problems);
  return merged.check();
}

function listFiles(directory: string): Result<string[], FileProblem[]> {
  const problem = (message: string) =>
    fail([{ file: directory, line: 1, column: 1, key: "", message }]);
  try {
    const names = readdirSync(directory).filter((name) =>
      YAML_EXTENSION.test(name)
    );
    if (names.length === 0) return problem("Directory contains no YAML files");
    return ok(names.sort());
  } catch (err) {
    const reason = (err as NodeJS.ErrnoException).code ?? String(err);
    return problem(`Directory cannot be read (${reason})`);
  }
}

/** Merges the sections of several files and records the source of each entry for error messages. */
class MergedConfiguration {
  readonly #sections = new Map<Section, unknown[]>(
    SECTIONS.map((s) => [s, []]),
  );
  readonly #sources = new Map<Section, EntrySource[]>(
    SECTIONS.map((s) => [s, []]),
  );

  add(yaml: YamlFile, content: Partial<Configuration> | null): void {
    for (const section of SECTIONS) {
      content?.[section]?.forEach((entry, index) => {
        this.#sections.get(section)?.push(entry);
        this.#sources.get(section)?.push({ yaml, index });
      });
    }
  }

  check(): Result<Configuration, FileProblem[]> {
    const cfg = Object.fromEntries(this.#sections) as unknown as Configuration;
    const problems = checkReferences(cfg).map((problem) => {
      const source = this.#sources.get(problem.section)
        ?.[problem.index] as EntrySource;
      const path = [problem.section, source.index, ...problem.path];
      return source.yaml.problemAt(path, problem.message);
    });
    if (problems.length === 0) problems.push(...this.#checkSizes(cfg));
    return problems.length > 0 ? fail(problems) : ok(cfg);
  }

  #checkSizes(cfg: Configuration): FileProblem[] {
    return splitConfiguration(cfg, sha256)
      .filter(({ text }) => Buffer.byteLength(text) > MAX_VALUE_BYTES)
      .map(({ ref, text }) => {
        const source = this.#sources.get(ref.section)?.[0] as EntrySource;
        const size = Buffer.byteLength(text);
        const message = `Entries take ${size} bytes in one platform object, ` +
          `which holds ${MAX_VALUE_BYTES} bytes; reduce the size of single entries`;
        return source.yaml.problemAt([ref.section], message);
      });
  }
}
