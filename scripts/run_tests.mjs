// Runs the tests of the whole tree, or those whose path holds one of the arguments.
import { spawnSync } from "node:child_process";
import { readdirSync } from "node:fs";
import process from "node:process";

const ROOTS = ["src", "tests", "prove", "soak"];
const wanted = process.argv.slice(2);

const files = ROOTS
  .flatMap((root) =>
    readdirSync(root, { recursive: true }).map((file) => `${root}/${file}`)
  )
  .filter((file) => file.endsWith("_test.ts"))
  .filter((file) =>
    wanted.length === 0 || wanted.some((part) => file.includes(part))
  )
  .sort();

const args = [
  "--import",
  "tsx",
  "--test",
  "--test-reporter=spec",
  "--test-concurrency=4",
  // A hang guard: a test that waits for ever would hold CI up for as long.
  "--test-timeout=300000",
];
const { status } = spawnSync(process.execPath, [...args, ...files], {
  stdio: "inherit",
});
process.exit(status ?? 1);
