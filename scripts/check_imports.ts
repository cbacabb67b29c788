/** Checks that each folder imports only from the folders that it names. */

import { readdirSync, readFileSync } from "node:fs";
import { dirname, join, relative, resolve } from "node:path";
import process from "node:process";
import { parse } from "yaml";

const RULES_FILE = "imports.yaml";
const SOURCE = resolve("src");
const IMPORT = /(?:from|import)\s+"(\.[^"]+|node:[^"]+|[^"]+)"/g;

interface Rules {
  /** Folders below src that may be imported from. */
  readonly folders: readonly string[];
  /** Packages and Node modules that may be imported; "*" allows all. */
  readonly packages: readonly string[];
}

function main(): void {
  const problems: string[] = [];
  const files = readdirSync(SOURCE, { recursive: true, encoding: "utf8" })
    .filter((file) => file.endsWith(".ts"));
  for (const file of files) problems.push(...checkFile(join(SOURCE, file)));
  for (const problem of problems) console.error(problem);
  console.log(
    `${files.length} files, ${problems.length} imports that are not allowed`,
  );
  if (problems.length > 0) process.exit(1);
}

function checkFile(file: string): string[] {
  const folder = dirname(file);
  const rules = readRules(folder);
  // Tests sit beside their module, but may reach for what they set it up with.
  if (file.endsWith("_test.ts")) return [];
  if (rules === undefined) return [`${folder}: ${RULES_FILE} is missing`];
  const text = readFileSync(file, "utf8");
  return [...text.matchAll(IMPORT)].flatMap(([, target = ""]) => {
    if (target.startsWith(".")) {
      const to = relative(SOURCE, dirname(resolve(folder, target)));
      if (to === relative(SOURCE, folder) || rules.folders.includes(to)) {
        return [];
      }
      return [`${relative(".", file)}: may not import from src/${to}`];
    }
    if (
      rules.packages.includes("*") || rules.packages.includes(target)
    ) return [];
    return [`${relative(".", file)}: may not import ${target}`];
  });
}

/** Rules hold for a folder and those below it without rules of their own. */
function readRules(folder: string): Rules | undefined {
  for (let at = folder; at.startsWith(SOURCE); at = dirname(at)) {
    try {
      return parse(readFileSync(join(at, RULES_FILE), "utf8")) as Rules;
    } catch {
      continue;
    }
  }
  return undefined;
}

main();
