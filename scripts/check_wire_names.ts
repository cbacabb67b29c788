/**
 * Checks that only src/platform uses names of the users' platform: collects the fields, headers
 * and paths that occur in this adapter, and reports uses of them in other folders.
 */

import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";

const SOURCE = "src";
const ADAPTER_FOLDER = "src/platform";
/** The adapter, and the stand-ins that implement the platform in tests. */
const EXEMPT_FILES = /^(platform|standins)\//;
/** The router's own API for callers, which shares some header names with the platform. */
const CALLER_API_FILES = /^entry\//;

/** Keys of schemas and messages, which are in upper camel case on the platform. */
const FIELD = /^\s*([A-Z][a-z]+[A-Za-z]*):/gm;
const HEADER = /"((?:fieldrack|kv)-[a-z-]+)"/g;
const PATH = /"(\/-\/[a-z]+)"/g;

interface Names {
  readonly fields: ReadonlySet<string>;
  readonly headers: ReadonlySet<string>;
}

function main(): void {
  const names = collectNames();
  const files = sourceFilesIn(SOURCE).filter((file) =>
    !EXEMPT_FILES.test(file)
  );
  const problems = files.flatMap((file) => checkFile(file, names));
  for (const problem of problems) console.error(problem);
  console.log(
    `${files.length} files, ${names.fields.size + names.headers.size} names ` +
      `of the platform, ${problems.length} used outside ${ADAPTER_FOLDER}`,
  );
  if (names.fields.size === 0 || problems.length > 0) process.exit(1);
}

function collectNames(): Names {
  const texts = sourceFilesIn(ADAPTER_FOLDER).map((file) =>
    readFileSync(join(ADAPTER_FOLDER, file), "utf8")
  );
  const matchesOf = (pattern: RegExp) =>
    texts.flatMap((text) => [...text.matchAll(pattern)])
      .map(([, name]) => name ?? "");
  return {
    fields: new Set(matchesOf(FIELD)),
    headers: new Set([...matchesOf(HEADER), ...matchesOf(PATH)]),
  };
}

function checkFile(file: string, { fields, headers }: Names): string[] {
  const text = readFileSync(join(SOURCE, file), "utf8");
  // Matches keys only, quoted or not: a name after a colon is a type of this project.
  const keys = [...text.matchAll(/(?<![\w.])"?([A-Z][a-z]+[A-Za-z]*)"?:/g)]
    .map(([, name]) => name ?? "")
    .filter((name) => fields.has(name));
  const foundHeaders = CALLER_API_FILES.test(file)
    ? []
    : [...text.matchAll(/"([^"\n]+)"/g)].map(([, value]) => value ?? "")
      .filter((value) => headers.has(value.toLowerCase()));
  // The ExitCode enumeration shares one of its names with the platform.
  const foundFields = file === "cli/exit_code.ts" ? [] : keys;
  return [...new Set([...foundFields, ...foundHeaders])].map((name) =>
    `src/${file}: ${name} belongs in ${ADAPTER_FOLDER}`
  );
}

function sourceFilesIn(folder: string): string[] {
  return readdirSync(folder, { recursive: true, encoding: "utf8" })
    .filter((file) => file.endsWith(".ts") && !file.endsWith("_test.ts"));
}

main();
