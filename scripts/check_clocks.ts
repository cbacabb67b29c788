/** Checks that ages are taken by the clocks of one file, which tests can set. */

import { readdirSync, readFileSync } from "node:fs";
import { join, relative, resolve } from "node:path";
import process from "node:process";

const SOURCE = resolve("src");
const CLOCK =
  /\b(performance\.now|performance\.timeOrigin|Date\.now|new Date\(\)|process\.hrtime|process\.uptime|uptime\(\))/;
/** Files that may read a clock themselves, and why. */
const ALLOWED: ReadonlyMap<string, string> = new Map([
  ["runtime/clock.ts", "the clocks"],
  [
    "runtime/deadline.ts",
    "deadlines that its own timers keep",
  ],
  ["runtime/line_writer.ts", "rate of log lines"],
  ["runtime/repeated_task.ts", "pauses between rounds"],
]);
/** Folders that stand for other machines, with clocks of their own. */
const OTHERS = ["standins/"];

function main(): void {
  const files = readdirSync(SOURCE, { recursive: true, encoding: "utf8" })
    .filter((file) => file.endsWith(".ts") && !file.endsWith("_test.ts"));
  const problems = files
    .filter((file) => !ALLOWED.has(file))
    .filter((file) => !OTHERS.some((folder) => file.startsWith(folder)))
    .flatMap((file) => readsOf(file));
  const unused = [...ALLOWED.keys()].filter((file) =>
    readsOf(file).length === 0
  );
  for (const problem of problems) console.error(`${problem}: use Clock`);
  for (const file of unused) console.error(`${file}: reads no clock any more`);
  console.log(`${files.length} files, ${problems.length} clocks of their own`);
  if (problems.length + unused.length > 0) process.exit(1);
}

function readsOf(file: string): string[] {
  const path = join(SOURCE, file);
  return readFileSync(path, "utf8").split("\n").flatMap((line, at) => {
    const found = CLOCK.exec(line)?.[1];
    return found === undefined
      ? []
      : [`${relative(".", path)}:${at + 1}: ${found}`];
  });
}

main();
