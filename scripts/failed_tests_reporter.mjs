/** Reporter for Node's test runner: prints the name of each failed test as a JSON string on its own line. */

import { isAbsolute, relative } from "node:path";
import process from "node:process";

/** Failure type of a suite or file in which a test failed. */
const SUBTESTS_FAILED = "subtestsFailed";
/** Exit code of a test file that ran to its end with failed tests. */
const TESTS_FAILED_EXIT_CODE = 1;

export default async function* failedTests(source) {
  for await (const { type, data } of source) {
    if (type !== "test:fail") continue;
    if (isAggregateFailure(data.details.error)) continue;
    yield `${JSON.stringify(nameOf(data))}\n`;
  }
}

/** A file whose process crashed or timed out is named by its path, from the root of the repository. */
function nameOf({ name }) {
  return isAbsolute(name) ? relative(process.cwd(), name) : name;
}

/** Whether a failure only aggregates failed subtests; false if the process of the file crashed or was killed. */
function isAggregateFailure(
  { failureType, exitCode = TESTS_FAILED_EXIT_CODE, signal = null },
) {
  return failureType === SUBTESTS_FAILED &&
    exitCode === TESTS_FAILED_EXIT_CODE &&
    signal === null;
}
