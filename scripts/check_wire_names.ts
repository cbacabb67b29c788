/**
 * Checks that the users' platform is spoken in src/platform only: collects the names of
 * fields, headers and paths that the adapter uses, and looks for them elsewhere.
 */

import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";

const SOURCE = "src";
const ADAPTER = "src/platform";
/** The adapter, and the stand-ins that take the platform's place. */
const MAY_SPEAK = /^(platform|standins)\//;
/** The product's own caller API, whose headers have some names in common. */
const OWN_INTERFACE = /^entry\//;

/** Keys of schemas and messages: the platform writes them in upper camel case. */
const FIELD = /^\s*([A-Z][a-z]+[A-Za-z]*):/gm;
const HEADER = /"((?:fieldrack|kv)-[a-z-]+)"/g;
const PATH = /"(\/-\/[a-z]+)"/g;

interface Names {
  readonly fields: ReadonlySet<string>;
  readonly headers: ReadonlySet<string>;
}

function main(): void {
  const names = collectNames();
  const files = sourcesIn(SOURCE).filter((file) => !MAY_SPEAK.test(file));
  const problems = files.flatMap((file) => checkFile(file, names));
  for (const problem of problems) console.error(problem);
  console.log(
    `${files.length} files, ${names.fields.size + names.headers.size} names ` +
      `of the platform, ${problems.length} used outside ${ADAPTER}`,
  );
  if (names.fields.size === 0 || problems.length > 0) process.exit(1);
}

function collectNames(): Names {
  const texts = sourcesIn(ADAPTER).map((file) =>
    readFileSync(join(ADAPTER, file), "utf8")
  );
  const all = (pattern: RegExp) =>
    texts.flatMap((text) => [...text.matchAll(pattern)])
      .map(([, name]) => name ?? "");
  return {
    fields: new Set(all(FIELD)),
    headers: new Set([...all(HEADER), ...all(PATH)]),
  };
}

function checkFile(file: string, { fields, headers }: Names): string[] {
  const text = readFileSync(join(SOURCE, file), "utf8");
  // As a key, with or without quotes; a type of this name after a colon is ours.
  const words = [...text.matchAll(/(?<![\w.])"?([A-Z][a-z]+[A-Za-z]*)"?:/g)]
    .map(([, name]) => name ?? "")
    .filter((name) => fields.has(name));
  const quoted = OWN_INTERFACE.test(file)
    ? []
    : [...text.matchAll(/"([^"\n]+)"/g)].map(([, value]) => value ?? "")
      .filter((value) => headers.has(value.toLowerCase()));
  // Exit codes are an own enumeration, one of whose names the platform uses as well.
  const own = file === "cli/exit_code.ts" ? [] : words;
  return [...new Set([...own, ...quoted])].map((name) =>
    `src/${file}: ${name} belongs in ${ADAPTER}`
  );
}

function sourcesIn(folder: string): string[] {
  return readdirSync(folder, { recursive: true, encoding: "utf8" })
    .filter((file) => file.endsWith(".ts") && !file.endsWith("_test.ts"));
}

main();
