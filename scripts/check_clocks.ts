/** Checks that source files read the time through `Clock`, which tests can replace, and not directly. */

import { readdirSync, readFileSync } from "node:fs";
import { join, relative, resolve } from "node:path";
import process from "node:process";

const SOURCE = resolve("src");
const CLOCK_READ =
  /\b(performance\.now|performance\.timeOrigin|Date\.now|new Date\(\)|process\.hrtime|process\.uptime|uptime\(\))/;
/** Files that may read system clocks directly, with the purpose of each read. */
const ALLOWED_FILES: ReadonlyMap<string, string> = new Map([
  ["runtime/clock.ts", "the Clock implementations"],
  [
    "runtime/deadline.ts",
    "deadlines enforced by timers of the same file",
  ],
  ["runtime/line_writer.ts", "rate limit of log lines"],
  ["runtime/repeated_task.ts", "delays between rounds"],
]);
/** Folders with stand-ins for other machines, which have their own clocks. */
const EXCLUDED_FOLDERS = ["standins/"];

function main(): void {
  const files = readdirSync(SOURCE, {
    recursive: true,
    encoding: "utf8",
  })
    .filter((file) => file.endsWith(".ts") && !file.endsWith("_test.ts"));
  const problems = files
    .filter((file) => !ALLOWED_FILES.has(file))
    .filter((file) =>
      !EXCLUDED_FOLDERS.some((folder) => file.startsWith(folder))
    )
    .flatMap((file) => findClockReads(file));
  const unused = [...ALLOWED_FILES.keys()].filter((file) =>
    findClockReads(file).length === 0
  );
  for (const problem of problems) console.error(`${problem}: use Clock`);
  for (const file of unused) console.error(`${file}: no longer reads clocks`);
  console.log(`${files.length} files, ${problems.length} clocks of their own`);
  if (problems.length + unused.length > 0) process.exit(1);
}

function findClockReads(file: string): string[] {
  const path = join(SOURCE, file);
  return readFileSync(path, "utf8").split("\n").flatMap((line, index) => {
    const found = CLOCK_READ.exec(line)?.[1];
    return found === undefined
      ? []
      : [`${relative(".", path)}:${index + 1}: ${found}`];
  });
}

main();
