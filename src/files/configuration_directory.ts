/** Reads a directory of YAML files as one configuration, checked as a whole. */

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

const YAML_ENDING = /\.ya?ml$/;

const fileSchema = strictObject(
  Object.fromEntries(
    SECTIONS.map((
      section,
    ) => [section, z.array(ENTRY_SCHEMAS[section]).optional()]),
  ),
).nullable();

/** Where an entry of the configuration was declared. */
interface Origin {
  readonly yaml: YamlFile;
  /** Position within the section of that file. */
  readonly index: number;
}

/** Reads all files below `directory` and checks them as a whole. */
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
      YAML_ENDING.test(name)
    );
    if (names.length === 0) return problem("Directory holds no YAML file");
    return ok(names.sort());
  } catch (err) {
    const reason = (err as NodeJS.ErrnoException).code ?? String(err);
    return problem(`Directory cannot be read (${reason})`);
  }
}

/** Joins the sections of several files and remembers where each entry stands. */
class MergedConfiguration {
  readonly #sections = new Map<Section, unknown[]>(
    SECTIONS.map((s) => [s, []]),
  );
  readonly #origins = new Map<Section, Origin[]>(SECTIONS.map((s) => [s, []]));

  add(yaml: YamlFile, content: Partial<Configuration> | null): void {
    for (const section of SECTIONS) {
      content?.[section]?.forEach((entry, index) => {
        this.#sections.get(section)?.push(entry);
        this.#origins.get(section)?.push({ yaml, index });
      });
    }
  }

  check(): Result<Configuration, FileProblem[]> {
    const cfg = Object.fromEntries(this.#sections) as unknown as Configuration;
    const problems = checkReferences(cfg).map((problem) => {
      const origin = this.#origins.get(problem.section)
        ?.[problem.index] as Origin;
      const path = [problem.section, origin.index, ...problem.path];
      return origin.yaml.problemAt(path, problem.message);
    });
    if (problems.length === 0) problems.push(...this.#checkSizes(cfg));
    return problems.length > 0 ? fail(problems) : ok(cfg);
  }

  #checkSizes(cfg: Configuration): FileProblem[] {
    return splitConfiguration(cfg, sha256)
      .filter(({ text }) => Buffer.byteLength(text) > MAX_VALUE_BYTES)
      .map(({ ref, text }) => {
        const origin = this.#origins.get(ref.section)?.[0] as Origin;
        const size = Buffer.byteLength(text);
        const message =
          `Entries need ${size} bytes in one object of the platform, ` +
          `which holds ${MAX_VALUE_BYTES}; make single entries smaller`;
        return origin.yaml.problemAt([ref.section], message);
      });
  }
}
