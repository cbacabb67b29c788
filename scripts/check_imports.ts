/** Checks that each source file imports only the folders and packages that its folder's imports.yaml allows. */

import { readdirSync, readFileSync } from "node:fs";
import { dirname, join, relative, resolve } from "node:path";
import process from "node:process";
import { parse } from "yaml";

const RULES_FILE = "imports.yaml";
const SOURCE = resolve("src");
const IMPORT_TARGET = /(?:from|import)\s+"(\.[^"]+|node:[^"]+|[^"]+)"/g;

interface Rules {
  /** Folders below src that may be imported from. */
  readonly folders: readonly string[];
  /** Packages and Node modules that may be imported; "*" allows any. */
  readonly packages: readonly string[];
}

function main(): void {
  const problems: string[] = [];
  const files = readdirSync(SOURCE, {
    recursive: true,
    encoding: "utf8",
  })
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
  // Unit tests lie in the folder of their module, but may import any fixture or dependency.
  if (file.endsWith("_test.ts")) return [];
  if (rules === undefined) return [`${folder}: ${RULES_FILE} is missing`];
  const text = readFileSync(file, "utf8");
  return [...text.matchAll(IMPORT_TARGET)].flatMap(([, target = ""]) => {
    if (target.startsWith(".")) {
      const targetFolder = relative(
        SOURCE,
        dirname(resolve(folder, target)),
      );
      if (
        targetFolder === relative(SOURCE, folder) ||
        rules.folders.includes(targetFolder)
      ) {
        return [];
      }
      return [
        `${relative(".", file)}: may not import from src/${targetFolder}`,
      ];
    }
    if (
      rules.packages.includes("*") || rules.packages.includes(target)
    ) return [];
    return [`${relative(".", file)}: may not import ${target}`];
  });
}

/** Reads the rules of the nearest folder, itself or an ancestor, that has a rules file. */
function readRules(folder: string): Rules | undefined {
  for (
    let current = folder;
    current.startsWith(SOURCE);
    current = dirname(current)
  ) {
    try {
      return parse(readFileSync(join(current, RULES_FILE), "utf8")) as Rules;
    } catch {
      continue;
    }
  }
  return undefined;
}

main();
