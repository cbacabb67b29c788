/** Reporter of node's test runner: the name of each failed test, one JSON string a line. */

/** Failure of a suite that only says that a test in it failed. */
const SUBTESTS_FAILED = "subtestsFailed";

export default async function* failedTests(source) {
  for await (const { type, data } of source) {
    if (type !== "test:fail") continue;
    if (data.details.error.failureType === SUBTESTS_FAILED) continue;
    yield `${JSON.stringify(data.name)}\n`;
  }
}
