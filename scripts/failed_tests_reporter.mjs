/** Reporter of node's test runner: the name of each failed test, one JSON string a line. */

/** Failure of a suite or file that says that a test in it failed. */
const SUBTESTS_FAILED = "subtestsFailed";
/** Exit code of a file whose tests were all run and of which some failed. */
const TESTS_FAILED = 1;

export default async function* failedTests(source) {
  for await (const { type, data } of source) {
    if (type !== "test:fail") continue;
    if (onlySumsUp(data.details.error)) continue;
    yield `${JSON.stringify(data.name)}\n`;
  }
}

/** Whether a failure tells of no more than the tests that failed do; a file may also have died. */
function onlySumsUp({ failureType, exitCode = TESTS_FAILED, signal = null }) {
  return failureType === SUBTESTS_FAILED && exitCode === TESTS_FAILED &&
    signal === null;
}
