/** Tests and proofs that fail for a known fault, as KNOWN-RED.txt lists them. */

import { existsSync, readFileSync } from "node:fs";

const KNOWN_RED_FILE = "KNOWN-RED.txt";
/** Faults that may land at once; more are to be mended first. */
const MOST_LISTED = 3;

/** Returns the lines of the list; each begins with `KIND NAME:`. */
export function readKnownRed(): string[] {
  if (!existsSync(KNOWN_RED_FILE)) return [];
  return readFileSync(KNOWN_RED_FILE, "utf8").split("\n")
    .filter((line) => line.trim() !== "");
}

/** Returns the line that lists a test or proof, if one does. */
export function knownRedLine(
  lines: readonly string[],
  { kind, name }: { kind: "test" | "prove"; name: string },
): string | undefined {
  return lines.find((line) => line.startsWith(`${kind} ${name}:`));
}

/** How a run of tests is judged. */
export interface Verdict {
  readonly ok: boolean;
  /** Lines of the list whose tests failed, as they may. */
  readonly passedOver: readonly string[];
}

/**
 * Judges a run by the exit code of its runner and the names of the tests that failed. A
 * run passes with failures only if every one of them is listed, and the list is short.
 */
export function judgeRun(
  lines: readonly string[],
  { exitCode, failed }: { exitCode: number | null; failed: readonly string[] },
): Verdict {
  const known = failed.map((name) =>
    knownRedLine(lines, { kind: "test", name })
  );
  const passedOver = known.filter((line) => line !== undefined);
  const allKnown = failed.length > 0 && passedOver.length === failed.length &&
    lines.length <= MOST_LISTED;
  // The runner ends with 1 for tests that failed; any other code is a fault of the run.
  return { ok: exitCode === 0 || (exitCode === 1 && allKnown), passedOver };
}
